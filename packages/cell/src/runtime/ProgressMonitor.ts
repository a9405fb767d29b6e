import type { ListedRun } from '../types/worker.js'
import type { Task, WorkerState } from './model.js'

/** ms without any progress after which a run counts as standing still: two looks and some. */
const STALL_TIMEOUT_MS = 1300
/** ms of a task's declared duration up to which starting again elsewhere beats waiting; workers that hang do so for about five seconds. */
const MAX_RESTART_ESTIMATE_MS = 4000
/** Weight of the newest measurement in a worker's speed. */
const SPEED_SMOOTHING = 0.3
/** ms between two measurements at least; percents are whole numbers. */
const SPEED_SAMPLE_INTERVAL_MS = 250
/** Speed below which a worker counts as slow: declared durations are off by half at most, and workers differ by a quarter. */
const SLOW_SPEED_RATIO = 0.35

/** Follows how runs get on, and what that says of their workers. */
export class ProgressMonitor {
  private readonly runs = new WeakMap<Task, { run: number, percent: number, changedAt: number, measuredAt: number }>()
  private readonly speeds = new WeakMap<WorkerState, number>()

  /**
   * Takes what a worker lists of a run.
   *
   * @returns whether the run stands still and should be started elsewhere
   */
  update (task: Task, listed: ListedRun, worker: WorkerState, now: number): boolean {
    const previous = this.runs.get(task)
    if (previous?.run !== listed.run) {
      this.runs.set(task, { run: listed.run, percent: listed.percent, changedAt: now, measuredAt: now })
      return false
    }
    if (now - previous.measuredAt >= SPEED_SAMPLE_INTERVAL_MS) {
      this.addSpeedSample(worker, (listed.percent - previous.percent) / 100 * task.step.definition.estimate / (now - previous.measuredAt))
      previous.measuredAt = now
      if (listed.percent !== previous.percent) previous.changedAt = now
      previous.percent = listed.percent
    }
    return now - previous.changedAt > STALL_TIMEOUT_MS && isWorthRestarting(task)
  }

  /** Forgets a run that is over. */
  forget (task: Task): void {
    this.runs.delete(task)
  }

  /** @returns whether a worker does far less than declared durations let expect */
  isSlow (worker: WorkerState): boolean {
    return (this.speeds.get(worker) ?? 1) < SLOW_SPEED_RATIO
  }

  /** Lets a worker that has had nothing to do be tried again. */
  resetSpeed (worker: WorkerState): void {
    this.speeds.delete(worker)
  }

  private addSpeedSample (worker: WorkerState, speed: number): void {
    const previous = this.speeds.get(worker) ?? 1
    this.speeds.set(worker, previous + SPEED_SMOOTHING * (Math.min(speed, 2) - previous))
  }
}

function isWorthRestarting (task: Task): boolean {
  const { definition } = task.step
  if (definition.lasting || definition.gang) return false
  return definition.checkpoints || definition.estimate <= MAX_RESTART_ESTIMATE_MS
}
