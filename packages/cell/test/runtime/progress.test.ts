import { describe, test } from 'node:test'
import { expect } from 'earl'
import { forecastReleases } from '../../src/runtime/forecastReleases.js'
import type { StepState, WorkerState } from '../../src/runtime/model.js'
import { ProgressMonitor } from '../../src/runtime/ProgressMonitor.js'
import { Registry } from '../../src/runtime/Registry.js'
import { stepOf } from '../support/CellRig.js'

interface Run {
  worker: WorkerState
  step: StepState
  /** Handles a report of the first task. */
  report: (percent: number, now: number) => void
}

/** @returns a step of two tasks of 2 s that run on a worker since 1000 */
function startRun ({ gang = false, checkpoint = '' } = {}): Run {
  const registry = new Registry()
  const worker = registry.ensureWorker({ id: 'w', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 4000, memory: 1000, accelerators: 0 }, labels: [], born: 1 })
  const job = registry.addJob({ id: '1', route: 'r', spec: '', steps: [stepOf({ count: 2, gang, estimate: 2000 })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
  const step = job.occurrences[0]!.steps[0]!
  for (const task of step.tasks) {
    Object.assign(task, { phase: 'running', run: 1, confirmedAt: 1000, checkpoint })
    registry.assign(task, worker)
  }
  const monitor = new ProgressMonitor()
  return { worker, step, report: (percent, now) => { monitor.update(step.tasks.at(0)!, { task: step.tasks.at(0)!.name, run: 1, checkpoint, percent }, worker, now) } }
}

function forecastEnds (worker: WorkerState, now: number): number[] {
  return forecastReleases(worker, now).map(({ at }) => at)
}

// Gangs are scheduled by these forecasts. Declared durations are off by up to a half, and workers are up to a quarter slower or faster.
describe('the forecast of the end of a run', () => {
  test('follows the declared duration before the run has reported progress', () => {
    const { worker } = startRun()
    expect(forecastEnds(worker, 1200)).toEqual([3000, 3000])
  })

  test('follows the progress since the start', () => {
    const { worker, report } = startRun()
    report(50, 1500)
    expect(forecastEnds(worker, 1500)).toEqual([2000, 3000])
  })

  test('follows the progress between two reports if the run continues from a checkpoint', () => {
    const { worker, report } = startRun({ checkpoint: 'saved' })
    report(60, 1500)
    expect(forecastEnds(worker, 1500)).toEqual([3000, 3000])
    report(70, 2000)
    expect(forecastEnds(worker, 2000)).toEqual([3000, 3500])
  })

  test('is the end of the slowest member for all members of a gang', () => {
    const { worker, step, report } = startRun({ gang: true })
    report(25, 1500)
    step.tasks.at(1)!.projectedEndAt = 1800
    expect(forecastEnds(worker, 1500)).toEqual([3000, 3000])
  })

  test('is soon for a run that takes longer than declared', () => {
    const { worker } = startRun()
    expect(forecastEnds(worker, 4000)).toEqual([4200, 4200])
  })
})
