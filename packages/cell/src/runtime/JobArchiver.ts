import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { SLOW_COMMIT_MS } from '../types/limits.js'
import type { RecordStore } from '../types/records.js'
import type { EndedPhase } from './Registry.js'
import { detach } from './detach.js'
import { CANCELLATION_SUFFIX, endRowName, submissionRowName, submissionPart } from './rowNames.js'

/** ms for which ends are gathered, so that one transaction takes many; a successor reads what ended in them as open. */
const FLUSH_INTERVAL_MS = 1500
/** ms of rest after a transaction that took long or was not carried out: nothing waits for these, and hand-ins share their parts. */
const PAUSE_AFTER_SLOW_COMMIT_MS = 5000
/** Jobs in one transaction: each takes three of the 100 entries. */
const MAX_JOBS_PER_TRANSACTION = 33

/**
 * Replaces the hand-ins of jobs that have ended by a short row, so that a successor reads only what is open. Both lie in one part, so
 * a repeated hand-in finds one or the other.
 */
export class JobArchiver {
  private readonly pending = new Map<string, Map<string, EndedPhase>>()
  private isFlushing = false
  /** Monotonic ms before which nothing is written. */
  private pausedUntil = 0

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, /** The hand-ins are gone, so the records may go. */ onArchived: (ids: string[]) => void }) {}

  /** Takes a job whose end is on record. */
  add (id: string, phase: EndedPhase): void {
    const part = submissionPart(id)
    let jobs = this.pending.get(part)
    if (jobs === undefined) this.pending.set(part, jobs = new Map())
    jobs.set(id, phase)
  }

  /** Writes what has gathered, again and again. */
  start (stopped: () => boolean): void {
    const timer = this.options.clock.repeat(FLUSH_INTERVAL_MS, () => {
      if (stopped()) return timer.cancel()
      if (!this.isFlushing) detach(this.flushAll(), this.options.log, 'retire jobs')
    })
  }

  /** One part after the other, so that a store that turns slow has one of these transactions, not one in each part. */
  private async flushAll (): Promise<void> {
    this.isFlushing = true
    for (const part of this.pending.keys()) if (this.options.clock.now() >= this.pausedUntil) await this.flush(part)
    this.isFlushing = false
  }

  private async flush (part: string): Promise<void> {
    const jobs = this.pending.get(part)!
    const batch = [...jobs].slice(0, MAX_JOBS_PER_TRANSACTION)
    if (batch.length === 0) return
    const { clock, store } = this.options
    const sentAt = clock.now()
    const outcome = await store.commit({
      expect: [],
      puts: batch.map(([id, phase]) => ({ ...endRowName(id), value: phase })),
      deletes: batch.flatMap(([id]) => [submissionRowName(id), { ...submissionRowName(id), key: id + CANCELLATION_SUFFIX }])
    })
    if (outcome.kind !== 'done' || clock.now() - sentAt > SLOW_COMMIT_MS) this.pausedUntil = clock.now() + PAUSE_AFTER_SLOW_COMMIT_MS
    // Without an answer the same rows are written again, which changes nothing.
    if (outcome.kind !== 'done') return
    for (const [id] of batch) jobs.delete(id)
    this.options.onArchived(batch.map(([id]) => id))
  }
}
