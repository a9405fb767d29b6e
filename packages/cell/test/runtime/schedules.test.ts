import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Job } from '../../src/index.js'
import { Registry } from '../../src/runtime/Registry.js'
import { countTasks } from '../../src/runtime/countTasks.js'
import { applyRecord, encodeJobRecord } from '../../src/runtime/jobRecord.js'
import type { JobRecord } from '../../src/runtime/jobRecord.js'
import type { JobState } from '../../src/runtime/model.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const MINUTE_MS = 60_000
/** Every minute for a week. */
const WEEK = 7 * 24 * 60
const ID = '00000000000000aa'
/** Largest size of a record, so that it fits into a row of the platform in every encoding. */
const MAX_RECORD_BYTES = 48_000

function createScheduledJob (id: string, job: Partial<Job>): Job {
  return { id, route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 0, ...job }
}

async function submitJob (rig: CellRig, job: Partial<Job>): Promise<void> {
  let outcome = ''
  rig.nodes[0]!.cell.gateway.submit(createScheduledJob(ID, job), rig.clock.now() + 2000).then(({ kind }) => { outcome = kind }, error => { throw error })
  await rig.until(() => outcome === 'accepted')
}

function countOpenTasks (registry: Registry): number {
  return [...registry.jobs.values()].reduce((sum, { occurrences, job }) => sum + occurrences.length * countTasks(job.steps), 0)
}

function numbersOf ({ occurrences }: JobState): number[] {
  return occurrences.map(({ index }) => index)
}

// Guards against a decider that ends at its heap limit, because it creates all occurrences of scheduled jobs when the jobs are submitted.
describe('the occurrences of scheduled jobs', () => {
  test('take no memory until they are due', () => {
    const registry = new Registry()
    for (let number = 0; number < 1000; number++) registry.addJob(createScheduledJob(`job${number}`, { repeat: { count: WEEK, first: MINUTE_MS, interval: MINUTE_MS } }), { now: 0, age: 0, wall: 0 })
    registry.openDueOccurrences(MINUTE_MS - 1)
    expect([countOpenTasks(registry), registry.readySteps.size]).toEqual([0, 0])
    registry.openDueOccurrences(MINUTE_MS)
    expect([countOpenTasks(registry), registry.readySteps.size]).toEqual([1000, 1000])
  })

  test('are created in bounded numbers if many are overdue, for one job and for all together', () => {
    const registry = new Registry()
    const addJobs = (count: number): JobState[] => Array.from({ length: count }, () => registry.addJob(createScheduledJob(`job${registry.jobs.size}`, { steps: [stepOf({ count: 10 })], repeat: { count: 300_000, first: 0, interval: 0 } }), { now: 0, age: 0, wall: 0 }))
    const [first] = addJobs(1)
    registry.openDueOccurrences(0)
    expect(first!.occurrences.length).toEqual(80)
    const others = addJobs(100)
    registry.openDueOccurrences(0)
    expect(countOpenTasks(registry)).toEqual(16_000)
    expect([...new Set(others.map(({ occurrences }) => occurrences.length))]).toEqual([16, 15])
  })

  test('of a job with more tasks than its bound are created one after the other', () => {
    const registry = new Registry()
    const state = registry.addJob(createScheduledJob(ID, { steps: [stepOf({ count: 1000 })], repeat: { count: 5, first: 0, interval: 0 } }), { now: 0, age: 0, wall: 0 })
    registry.openDueOccurrences(0)
    expect(numbersOf(state)).toEqual([0])
  })

  test('that are overdue all run once and in bounded numbers, also if the decider is killed, and their job completes', async () => {
    const rig = await createSteadyRig({ nodes: 4, workers: 8 })
    await submitJob(rig, { steps: [stepOf({ count: 20 })], repeat: { count: 120, first: rig.clock.wall() - 1000, interval: 1 } })
    let largest = 0
    for (const kills of [0, 1, 2]) {
      for (const until = rig.clock.now() + 6000; rig.clock.now() < until; await rig.run(100)) {
        const decider = rig.decider?.cell.activeDecider
        if (decider !== undefined) largest = Math.max(largest, countOpenTasks(decider.registry))
        expect(Math.max(0, ...[...rig.tables.rows.values()].filter(({ table }) => table === 'tasks').map(({ value }) => value.length))).toBeLessThan(MAX_RECORD_BYTES)
      }
      if (kills < 2) rig.kill(rig.decider!)
    }
    await rig.run(40_000)
    expect(largest).toBeLessThan(801)
    expect([rig.fleet.starts.size, Math.max(...rig.fleet.starts.values()), await rig.phases([ID])]).toEqual([2400, 1, ['completed']])
    expect(rig.fleet.violations).toEqual([])
  })

  test('that overlap and end in another order are not repeated after a takeover', async () => {
    const rig = await createSteadyRig({ behaviour: task => ({ duration: task.includes('.0.0.') ? 6000 : 300, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
    await submitJob(rig, { repeat: { count: 4, first: rig.clock.wall() + 200, interval: 1000 } })
    await rig.run(3000)
    expect(numbersOf(rig.decider!.cell.activeDecider!.registry.jobs.get(ID)!)).toEqual([0])
    rig.kill(rig.decider!)
    await rig.run(12_000)
    expect([[...rig.fleet.starts.values()], await rig.phase(rig.decider!, ID)]).toEqual([[1, 1, 1, 1], 'completed'])
  })

  test('are not created after the job was cancelled', async () => {
    const rig = await createSteadyRig()
    await submitJob(rig, { repeat: { count: 100, first: rig.clock.wall() + 200, interval: 1000 } })
    await rig.run(1500)
    rig.nodes[1]!.cell.gateway.cancel(ID, rig.clock.now() + 2000).catch(error => { throw error })
    await rig.run(500)
    const started = rig.fleet.starts.size
    await rig.run(5000)
    expect([rig.fleet.starts.size, await rig.phase(rig.nodes[1]!, ID)]).toEqual([started, 'cancelled'])
  })
})

describe('the record of a scheduled job', () => {
  const job = createScheduledJob(ID, { steps: [stepOf({ count: 2 })], repeat: { count: WEEK, first: 0, interval: 1 } })

  test('stays short however many occurrences have ended, and restores the open ones', () => {
    const registry = new Registry()
    const state = registry.addJob(job, { now: 0, age: 0, wall: 0 })
    for (let number = 0; number < 5000; number++) {
      registry.openDueOccurrences(number)
      const occurrence = state.occurrences.at(-1)!
      if (number % 2000 === 7) continue
      for (const step of occurrence.steps) {
        for (const task of step.tasks) Object.assign(task, { phase: 'done', run: 1 })
        step.doneTasks = step.tasks.length
      }
      occurrence.doneSteps = occurrence.steps.length
      registry.closeOccurrence(occurrence)
    }
    const text = encodeJobRecord(state, 0)
    expect(text.length).toBeLessThan(150)
    const restored = new Registry()
    const restoredState = restored.addJob(job, { now: 5000, age: 5000, wall: 5000 })
    applyRecord(restored, restoredState, JSON.parse(text) as JobRecord)
    expect([numbersOf(restoredState), restoredState.nextOccurrence]).toEqual([[7, 2007, 4007], 5000])
  })

  test('of an earlier version, which contains all occurrences, is read', () => {
    const registry = new Registry()
    const state = registry.addJob(job, { now: 0, age: 0, wall: 0 })
    const runs = applyRecord(registry, state, { phase: 'open', tasks: [[[1, 1]], [[1, [2, 'w1']]], [[1, 1]], [[0, [1, 'w2']]], [[0, 0]], [[0, 0]]] })
    expect([numbersOf(state), state.nextOccurrence, runs.map(({ task }) => task.name)]).toEqual([[1, 3], 4, [`${ID}.1.0.1`, `${ID}.3.0.1`]])
  })
})
