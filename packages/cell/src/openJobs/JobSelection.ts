import type { StoredRecord } from '../runtime/recordRows.js'
import type { RecordedJob } from '../types/job.js'
import type { DeferredJob } from './DeferredJobs.js'
import { weighJob } from './weighJob.js'

/** Part of the room that remains in use when jobs are dropped, so that this is not repeated for each further job. */
const KEPT_SHARE = 0.9

/** A job that was read from the store. */
export interface SelectedJob {
  recorded: RecordedJob
  /** Record of a job that has started. */
  stored: StoredRecord | undefined
}

interface Candidate extends SelectedJob {
  deferred: DeferredJob
  /** Whether the job is kept in any case, because workers may run its tasks. */
  hasRuns: boolean
}

/** Selects, of the jobs that are read from the store, the most urgent ones for which there is room; of the others only ids are kept. */
export class JobSelection {
  private candidates = new Map<string, Candidate>()
  private weight = 0

  /**
   * @param options - `room`: bytes of the jobs to keep; `priorityOf`: returns the priority of a job's route; `onDeferred`: receives each job that is not
   *   kept, in groups of descending urgency
   */
  constructor (private readonly options: { room: number, priorityOf: (recorded: RecordedJob) => number, onDeferred: (job: DeferredJob) => void }) {}

  /** Adds a job. `isStarted`: whether it has a record; `stored`: the record, unless it is to be read again; `hasRuns`: whether workers may run its tasks. */
  add (recorded: RecordedJob, { isStarted, stored, hasRuns }: { isStarted: boolean, stored: StoredRecord | undefined, hasRuns: boolean }): void {
    const { job } = recorded
    const deferred: DeferredJob = { ...weighJob(job), id: job.id, route: job.route, isStarted, priority: this.options.priorityOf(recorded), isBeyondRate: false }
    if (isStarted && stored === undefined) {
      this.options.onDeferred(deferred)
      return
    }
    this.candidates.set(job.id, { recorded, stored, hasRuns, deferred })
    this.weight += deferred.weight
    if (this.weight > this.options.room) this.dropLeastUrgent()
  }

  /** @returns the jobs to hold, in order of their submission */
  get selected (): SelectedJob[] {
    return [...this.candidates.values()].sort((a, b) => a.recorded.job.acceptedAt - b.recorded.job.acceptedAt)
  }

  private dropLeastUrgent (): void {
    const ordered = [...this.candidates.values()].sort(compareUrgency)
    const dropped: Candidate[] = []
    while (this.weight > KEPT_SHARE * this.options.room && ordered.at(-1)?.hasRuns === false) {
      const least = ordered.pop()!
      dropped.push(least)
      this.weight -= least.deferred.weight
    }
    for (const { deferred } of dropped.reverse()) {
      this.candidates.delete(deferred.id)
      this.options.onDeferred(deferred)
    }
  }
}

/** Jobs with runs come first, then those that have started, then by priority and time of submission. */
function compareUrgency (a: Candidate, b: Candidate): number {
  return Number(b.hasRuns) - Number(a.hasRuns) || Number(b.deferred.isStarted) - Number(a.deferred.isStarted) || a.deferred.priority - b.deferred.priority || a.recorded.job.acceptedAt - b.recorded.job.acceptedAt
}
