import type { ListedRun } from '../types/worker.js'
import type { Task, WorkerState } from './model.js'

/** ms without any progress after which a run counts as standing still: two looks and some. */
const STILL_AFTER = 1300
/** ms of a task's declared duration up to which starting again elsewhere beats waiting; workers that hang do so for about five seconds. */
const RESTART_WORTH = 4000
/** Weight of the newest measurement in a worker's speed. */
const SPEED_WEIGHT = 0.3
/** ms between two measurements at least; percents are whole numbers. */
const SPEED_SPAN = 250
/** Speed below which a worker counts as slow: declared durations are off by half at most, and workers differ by a quarter. */
const SLOW_SPEED = 0.35

/** Follows how runs get on, and what that says of their workers. */
export class Progress {
  private readonly runs = new WeakMap<Task, { run: number, percent: number, changedAt: number, measuredAt: number }>()
  private readonly speeds = new WeakMap<WorkerState, number>()

  /**
   * Takes what a worker lists of a run.
   *
   * @returns whether the run stands still and should be started elsewhere
   */
  note (task: Task, listed: ListedRun, worker: WorkerState, now: number): boolean {
    const known = this.runs.get(task)
    if (known?.run !== listed.run) {
      this.runs.set(task, { run: listed.run, percent: listed.percent, changedAt: now, measuredAt: now })
      return false
    }
    if (now - known.measuredAt >= SPEED_SPAN) {
      this.measure(worker, (listed.percent - known.percent) / 100 * task.step.definition.estimate / (now - known.measuredAt))
      known.measuredAt = now
      if (listed.percent !== known.percent) known.changedAt = now
      known.percent = listed.percent
    }
    return now - known.changedAt > STILL_AFTER && isWorthRestarting(task)
  }

  /** Forgets a run that is over. */
  forget (task: Task): void {
    this.runs.delete(task)
  }

  /** @returns whether a worker does far less than declared durations let expect */
  isSlow (worker: WorkerState): boolean {
    return (this.speeds.get(worker) ?? 1) < SLOW_SPEED
  }

  /** Lets a worker that has had nothing to do be tried again. */
  forgive (worker: WorkerState): void {
    this.speeds.delete(worker)
  }

  private measure (worker: WorkerState, speed: number): void {
    const before = this.speeds.get(worker) ?? 1
    this.speeds.set(worker, before + SPEED_WEIGHT * (Math.min(speed, 2) - before))
  }
}

function isWorthRestarting (task: Task): boolean {
  const { definition } = task.step
  if (definition.lasting || definition.gang) return false
  return definition.checkpoints || definition.estimate <= RESTART_WORTH
}
