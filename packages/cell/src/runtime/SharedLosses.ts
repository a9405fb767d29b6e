import type { JobState, Task, WorkerState } from './model.js'
import { isRack } from './placeTasks.js'
import type { Registry } from './Registry.js'

/** Maximum time between losses of contact with a common cause: an idle worker is polled every second, and a poll times out after half a second. */
const SHARED_WINDOW_MS = 2000
/** Share of the workers of a rack or data centre whose simultaneous loss counts as one failure; a few may be noticed late. */
const MIN_LOST_SHARE = 0.75
/** Time for which losses are kept: longer than it takes to tell a crash from an interruption. */
const RETENTION_MS = 30_000

/** Loss of contact with a worker. */
export interface Loss {
  worker: string
  /** Monotonic ms. */
  at: number
  /** Jobs that had runs on the worker. */
  jobs: Set<JobState>
  /** Tasks to which the crash of the worker was attributed. */
  charged: Task[]
  /** Racks and data centre of the worker, the smallest first. */
  areas: string[]
}

/** Several workers of a rack or data centre that were lost at the same time. */
export interface SharedLoss {
  losses: Loss[]
  /** Jobs that had runs on all of the workers. */
  commonJobs: Set<JobState>
}

/** Recognizes the failure of a whole rack or data centre, for which no task is the cause. */
export class SharedLosses {
  private readonly losses = new Map<string, Loss>()

  constructor (private readonly registry: Registry) {}

  /** Adds the loss of contact with a worker; `now`: monotonic ms. */
  note (worker: WorkerState, now: number): void {
    for (const [id, { at }] of this.losses) if (at < now - RETENTION_MS) this.losses.delete(id)
    const jobs = new Set([...worker.tasks.values()].filter(task => task.phase !== 'placed').map(task => task.step.occurrence.job))
    this.losses.set(worker.report.id, { worker: worker.report.id, at: now, jobs, charged: [], areas: areasOf(worker) })
  }

  /** @returns the last loss of contact with a worker, if it is recent */
  lossOf (worker: string): Loss | undefined {
    return this.losses.get(worker)
  }

  /** @returns the failure of the worker's rack or data centre to which the loss belongs, or `undefined` if the worker was lost on its own */
  sharedLossOf (loss: Loss): SharedLoss | undefined {
    for (const area of loss.areas) {
      const losses = [...this.losses.values()].filter(each => each.areas.includes(area) && Math.abs(each.at - loss.at) <= SHARED_WINDOW_MS)
      if (losses.length < 2 || losses.length < MIN_LOST_SHARE * this.countWorkers(area, losses)) continue
      return { losses, commonJobs: new Set([...loss.jobs].filter(job => losses.every(({ jobs }) => jobs.has(job)))) }
    }
    return undefined
  }

  private countWorkers (area: string, losses: Loss[]): number {
    const ids = new Set(losses.map(loss => loss.worker))
    for (const worker of this.registry.workers.values()) if (worker.isListed && areasOf(worker).includes(area)) ids.add(worker.report.id)
    return ids.size
  }
}

function areasOf ({ report }: WorkerState): string[] {
  return [...report.labels.filter(isRack), ...report.dataCentre === '' ? [] : [`data centre ${report.dataCentre}`]]
}
