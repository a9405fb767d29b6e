import type { Clock } from '@rattanstep/core'
import { noteCompletedRun } from '../speeds/noteCompletedRun.js'
import type { WorkerSpeeds } from '../speeds/WorkerSpeeds.js'
import type { ListedEnd, WorkerList } from '../types/worker.js'
import type { Registry } from './Registry.js'
import type { TaskLifecycle } from './TaskLifecycle.js'
import type { Task, WorkerState } from './model.js'
import { jobIdOf } from './taskName.js'

/** Options and callbacks of the ends that workers list. */
export interface WorkerEndsOptions {
  registry: Registry
  clock: Clock
  speeds: WorkerSpeeds
  /** Returns what handles the ends. */
  lifecycle: () => TaskLifecycle
  /** Has an accepted job loaded that waits in the store; returns whether it is one. */
  loadDeferred: (id: string) => boolean
  /** Records the task's state, then calls `then`. */
  recordTask: (task: Task, then: () => void) => void
  /** Called when all handled ends of a worker are on record, so that they can be acknowledged. */
  onRecorded: (worker: WorkerState) => void
}

/**
 * Handles the ends of runs that workers list, each once. An end of a job that waits in the store is kept and handled as soon as the job is loaded; those
 * behind it are handled at once, since what is missing in a list counts as lost.
 */
export class WorkerEnds {
  constructor (private readonly options: WorkerEndsOptions) {}

  /** Handles the ends of a list that are new, and those that were kept for jobs that are no longer expected. */
  handle (worker: WorkerState, { ended }: Pick<WorkerList, 'ended'>): void {
    for (const end of ended) {
      if (end.number <= worker.lastEndNumber && !worker.deferredEnds.has(end.number)) continue
      worker.lastEndNumber = Math.max(worker.lastEndNumber, end.number)
      if (this.options.registry.findTask(end.task) === undefined && this.options.loadDeferred(jobIdOf(end.task))) worker.deferredEnds.set(end.number, end)
      else this.handleOne(worker, end)
    }
  }

  /** Handles the ends that were kept for a job. Must be called before anything of the job is placed: its tasks may be done by one of them. */
  handleLoaded (id: string): void {
    for (const worker of this.options.registry.workers.values()) {
      for (const end of worker.deferredEnds.values()) if (jobIdOf(end.task) === id) this.handleOne(worker, end)
    }
  }

  /** Numbers of ends start anew in each incarnation: the next poll must not acknowledge ends of a new one that it has not listed yet. */
  forget (worker: WorkerState): void {
    worker.lastEndNumber = 0
    worker.lastAcknowledgedEnd = 0
    worker.unrecordedEnds = new Set()
    worker.deferredEnds = new Map()
  }

  private handleOne (worker: WorkerState, end: ListedEnd): void {
    const { registry, speeds, clock } = this.options
    const lifecycle = this.options.lifecycle()
    worker.deferredEnds.delete(end.number)
    const task = registry.findTask(end.task)
    if (task === undefined) return
    const isCurrent = task.worker === worker && task.run === end.run
    if (!isCurrent && !completesTask(task, end)) return
    worker.unrecordedEnds.add(end.number)
    if (isCurrent && end.ending === 'done' && task.phase === 'running') noteCompletedRun(speeds, task, clock.now())
    if (isCurrent) lifecycle.handleEnd(task, end, worker)
    else lifecycle.handleFormerCompletion(task, end, worker)
    this.recordEnd(worker, task, end.number)
  }

  private recordEnd (worker: WorkerState, task: Task, number: number): void {
    // A later incarnation has ends with the same numbers.
    const { unrecordedEnds } = worker
    this.options.recordTask(task, () => {
      unrecordedEnds.delete(number)
      if (unrecordedEnds.size === 0) this.options.onRecorded(worker)
    })
  }
}

/** @returns highest number up to which all ends of a worker are on record */
export function acknowledgedEnd ({ lastEndNumber, unrecordedEnds, deferredEnds }: WorkerState): number {
  let lowest = lastEndNumber
  for (const number of unrecordedEnds) lowest = Math.min(lowest, number - 1)
  for (const number of deferredEnds.keys()) lowest = Math.min(lowest, number - 1)
  return lowest
}

/** @returns whether the end of an earlier run shows that a task of an open job is done */
function completesTask ({ phase, step }: Task, { ending }: ListedEnd): boolean {
  return ending === 'done' && phase !== 'done' && !step.definition.lasting && step.occurrence.job.phase === 'open'
}
