import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { SLOW_COMMIT_MS } from '../types/limits.js'
import type { RecordStore } from '../types/records.js'
import type { EndedPhase } from './Registry.js'
import { detach } from './detach.js'
import { CANCELLATION_SUFFIX, endRowName, submissionRowName, submissionPart } from './rowNames.js'

/** Interval between writes, so that one transaction covers many jobs. If the decider is lost, its successor reads jobs not yet written as open. */
const FLUSH_INTERVAL_MS = 1500
/** Pause after a transaction that was slow or was not carried out: no caller waits for these writes, and submissions use the same parts. */
const PAUSE_AFTER_SLOW_COMMIT_MS = 5000
/** Each job uses three of a transaction's 100 entries. */
const MAX_JOBS_PER_TRANSACTION = 33

/**
 * Replaces the submissions of jobs that have ended by short rows, so that a successor reads only open jobs. Both rows are in the same
 * part, so that a repeated submission finds one of them.
 */
export class JobArchiver {
  private readonly pending = new Map<string, Map<string, EndedPhase>>()
  private isFlushing = false
  /** Monotonic ms before which nothing is written. */
  private pausedUntil = 0

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, /** called when the submissions are deleted, so that the records can be deleted too */ onArchived: (ids: string[]) => void }) {}

  /** Adds a job whose final phase is on record. */
  add (id: string, phase: EndedPhase): void {
    const part = submissionPart(id)
    let jobs = this.pending.get(part)
    if (jobs === undefined) this.pending.set(part, jobs = new Map())
    jobs.set(id, phase)
  }

  /** Starts to write the added jobs periodically. */
  start (isStopped: () => boolean): void {
    const timer = this.options.clock.repeat(FLUSH_INTERVAL_MS, () => {
      if (isStopped()) return timer.cancel()
      if (!this.isFlushing) detach(this.flushAll(), this.options.log, 'retire jobs')
    })
  }

  /** Writes one part after the other, so that a store that becomes slow has only one of these transactions in flight, not one for each part. */
  private async flushAll (): Promise<void> {
    this.isFlushing = true
    try {
      for (const [part, jobs] of this.pending) {
        // Jobs may end faster than one transaction in an interval can archive them.
        do await this.flush(part)
        while (jobs.size >= MAX_JOBS_PER_TRANSACTION && this.options.clock.now() >= this.pausedUntil)
      }
    } finally {
      this.isFlushing = false
    }
  }

  private async flush (part: string): Promise<void> {
    const jobs = this.pending.get(part)!
    const { clock, store } = this.options
    const batch = [...jobs].slice(0, MAX_JOBS_PER_TRANSACTION)
    if (batch.length === 0 || clock.now() < this.pausedUntil) return
    const sentAt = clock.now()
    const outcome = await store.commit({
      expect: [],
      puts: batch.map(([id, phase]) => ({ ...endRowName(id), value: phase })),
      deletes: batch.flatMap(([id]) => [submissionRowName(id), { ...submissionRowName(id), key: id + CANCELLATION_SUFFIX }])
    })
    if (outcome.kind !== 'done' || clock.now() - sentAt > SLOW_COMMIT_MS) this.pausedUntil = clock.now() + PAUSE_AFTER_SLOW_COMMIT_MS
    // After any other outcome the same rows are written again, which is idempotent.
    if (outcome.kind !== 'done') return
    for (const [id] of batch) jobs.delete(id)
    this.options.onArchived(batch.map(([id]) => id))
  }
}
