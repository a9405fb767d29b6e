import { describe, test } from 'node:test'
import { expect } from 'earl'
import { MAX_TOUCHED_TASKS } from '../../src/openJobs/TaskList.js'
import { TaskCounter } from '../../src/openJobs/TaskCounter.js'
import { applyRecord, encodeJobRecord } from '../../src/runtime/jobRecord.js'
import type { JobRecord } from '../../src/runtime/jobRecord.js'
import type { JobState, StepState } from '../../src/runtime/model.js'
import { Registry } from '../../src/runtime/Registry.js'
import { stepOf } from '../support/CellRig.js'

function addStep (registry: Registry, step: Parameters<typeof stepOf>[0], id = 'a'): { job: JobState, step: StepState } {
  const job = registry.addJob({ id, route: 'r', spec: '', steps: [stepOf(step)], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
  return { job, step: job.occurrences[0]!.steps[0]! }
}

// Guards against memory that grows with the tasks of jobs that wait: 215 jobs of 1,000 tasks ended a process.
describe('the tasks of a step', () => {
  test('have no objects before they are placed', () => {
    const registry = new Registry()
    const { step } = addStep(registry, { count: 10_000 })
    expect([step.tasks.length, step.tasks.countWaiting(), step.tasks.hasWaiting, registry.tasks.open]).toEqual([10_000, 10_000, true, 0])
    expect(registry.readySteps.has(step)).toEqual(true)
  })

  test('lose their objects once they are done and released by their workers', () => {
    const registry = new Registry()
    const { step, job } = addStep(registry, { count: 3 })
    const worker = registry.ensureWorker({ id: 'w0', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 9000, memory: 9000, accelerators: 0 }, labels: [], born: 1 })
    const task = step.tasks.createNext()
    registry.assign(task, worker)
    task.phase = 'done'
    step.doneTasks++
    expect([registry.tasks.open, job.touchedTasks]).toEqual([1, 1])
    registry.release(task)
    expect([registry.tasks.open, job.touchedTasks, step.tasks.countWaiting()]).toEqual([0, 0, 2])
    expect([step.tasks.at(0)!.phase, step.tasks.at(1)!.phase, step.tasks.at(3)]).toEqual(['done', 'waiting', undefined])
  })

  test('keep no objects of a job that is archived', () => {
    const registry = new Registry()
    const { step } = addStep(registry, { count: 5 })
    for (let index = 0; index < 5; index++) step.tasks.createNext()
    registry.archive('a', { phase: 'cancelled', at: 0, version: 1 })
    expect(registry.tasks.open).toEqual(0)
  })

  test('are offered for placement up to the limits of the job and of the decider', () => {
    const registry = new Registry(new TaskCounter(1000))
    const wide = addStep(registry, { count: 10_000 })
    expect(wide.step.tasks.waiting().untouched).toEqual(MAX_TOUCHED_TASKS)
    for (let count = 0; count < MAX_TOUCHED_TASKS; count++) wide.step.tasks.createNext()
    expect(wide.step.tasks.waiting().untouched).toEqual(0)
    expect(addStep(registry, { count: 500 }, 'b').step.tasks.waiting().untouched).toEqual(200)
    expect(addStep(registry, { count: 900, gang: true }, 'c').step.tasks.waiting().untouched).toEqual(200)
  })

  test('that wait at the end of a step are restored from a record without objects', () => {
    const registry = new Registry()
    const { job, step } = addStep(registry, { count: 1000 })
    Object.assign(step.tasks.createNext(), { phase: 'done', run: 1 })
    Object.assign(step.tasks.createNext(), { run: 2, failures: 1 })
    const text = encodeJobRecord(job, 0)
    expect(text.length).toBeLessThan(60)
    const restored = addStep(new Registry(), { count: 1000 })
    applyRecord(new Registry(), restored.job, JSON.parse(text) as JobRecord)
    expect([restored.job.touchedTasks, restored.step.doneTasks, restored.step.tasks.countWaiting(), restored.step.tasks.at(1)!.run]).toEqual([1, 1, 999, 2])
  })
})
