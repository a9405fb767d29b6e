import type { ListedRun } from '../types/worker.js'
import type { Task, WorkerState } from './model.js'

/** Time without progress after which a run counts as stalled; slightly more than two polls. */
const STALL_TIMEOUT_MS = 1300
/** Longest declared duration of a task for which a restart on another worker is faster than waiting; workers hang for about five seconds. */
const MAX_RESTART_ESTIMATE_MS = 4000
/** Weight of the newest sample in the moving average of a worker's speed. */
const SPEED_SMOOTHING = 0.3
/** Minimum time between two samples; with less, the rounding of progress to whole percents would distort them. */
const SPEED_SAMPLE_INTERVAL_MS = 250
/** Speed below which a worker counts as slow. Declared durations are wrong by at most half, and speeds of workers differ by a quarter. */
const SLOW_SPEED_RATIO = 0.35

/** Progress of a run as reported by its worker. */
interface RunProgress {
  run: number
  /** Progress at the first report from which the rate is known, and its monotonic ms. */
  first: { percent: number, at: number }
  percent: number
  /** Monotonic ms of the last change of `percent`, and of the last sample of the worker's speed. */
  changedAt: number
  measuredAt: number
}

/** Detects stalled runs and slow workers from the progress that workers report, and projects when runs will end. */
export class ProgressMonitor {
  private readonly runs = new WeakMap<Task, RunProgress>()
  private readonly speeds = new WeakMap<WorkerState, number>()

  /**
   * Handles a worker's report of a run.
   *
   * @param task - task of the run
   * @param listed - the run as listed by the worker
   * @param worker - the worker
   * @param now - monotonic ms
   * @returns whether the run is stalled and should be restarted on another worker
   */
  update (task: Task, listed: ListedRun, worker: WorkerState, now: number): boolean {
    const previous = this.runs.get(task)
    if (previous?.run !== listed.run) {
      const first = isStartKnown(task, now) ? { percent: 0, at: task.confirmedAt } : { percent: listed.percent, at: now }
      this.runs.set(task, { run: listed.run, first, percent: listed.percent, changedAt: now, measuredAt: now })
      projectEnd(task, first, listed.percent, now)
      return false
    }
    projectEnd(task, previous.first, listed.percent, now)
    if (now - previous.measuredAt >= SPEED_SAMPLE_INTERVAL_MS) {
      this.addSpeedSample(worker, (listed.percent - previous.percent) / 100 * task.step.definition.estimate / (now - previous.measuredAt))
      previous.measuredAt = now
      if (listed.percent !== previous.percent) previous.changedAt = now
      previous.percent = listed.percent
    }
    return now - previous.changedAt > STALL_TIMEOUT_MS && isWorthRestarting(task)
  }

  /** Discards the progress of a task's run. */
  forget (task: Task): void {
    this.runs.delete(task)
  }

  /** @returns whether a worker is much slower than the declared durations suggest */
  isSlow (worker: WorkerState): boolean {
    return (this.speeds.get(worker) ?? 1) < SLOW_SPEED_RATIO
  }

  /** Resets the speed of an idle worker, so that it is used again like others. */
  resetSpeed (worker: WorkerState): void {
    this.speeds.delete(worker)
  }

  private addSpeedSample (worker: WorkerState, speed: number): void {
    const previous = this.speeds.get(worker) ?? 1
    this.speeds.set(worker, previous + SPEED_SMOOTHING * (Math.min(speed, 2) - previous))
  }
}

/** A run that continues from a checkpoint, or that was started by a former decider, had made progress before it was first listed. */
function isStartKnown ({ checkpoint, confirmedAt }: Task, now: number): boolean {
  return checkpoint === '' && confirmedAt > 0 && now - confirmedAt >= SPEED_SAMPLE_INTERVAL_MS
}

function projectEnd (task: Task, first: RunProgress['first'], percent: number, now: number): void {
  if (percent <= first.percent || now - first.at < SPEED_SAMPLE_INTERVAL_MS) return
  task.projectedEndAt = now + (100 - percent) * (now - first.at) / (percent - first.percent)
}

function isWorthRestarting (task: Task): boolean {
  const { definition } = task.step
  if (definition.lasting || definition.gang) return false
  return definition.checkpoints || definition.estimate <= MAX_RESTART_ESTIMATE_MS
}
