import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { SLOW_COMMIT } from '../types/limits.js'
import type { RecordStore } from '../types/records.js'
import type { EndedPhase } from './Book.js'
import { detach } from './detach.js'
import { CANCELLED, endName, handInName, handInPart } from './parts.js'

/** ms for which ends are gathered, so that one transaction takes many; a successor reads what ended in them as open. */
const PERIOD = 1500
/** ms of rest after a transaction that took long or was not carried out: nothing waits for these, and hand-ins share their parts. */
const REST = 5000
/** Jobs in one transaction: each takes three of the 100 entries. */
const JOBS_MAX = 33

/**
 * Replaces the hand-ins of jobs that have ended by a short row, so that a successor reads only what is open. Both lie in one part, so
 * a repeated hand-in finds one or the other.
 */
export class JobRetirer {
  private readonly waiting = new Map<string, Map<string, EndedPhase>>()
  private busy = false
  /** Monotonic ms before which nothing is written. */
  private restUntil = 0

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, /** The hand-ins are gone, so the records may go. */ retired: (ids: string[]) => void }) {}

  /** Takes a job whose end is on record. */
  add (id: string, phase: EndedPhase): void {
    const part = handInPart(id)
    let jobs = this.waiting.get(part)
    if (jobs === undefined) this.waiting.set(part, jobs = new Map())
    jobs.set(id, phase)
  }

  /** Writes what has gathered, again and again. */
  start (stopped: () => boolean): void {
    const timer = this.options.clock.repeat(PERIOD, () => {
      if (stopped()) return timer.cancel()
      if (!this.busy) detach(this.flushAll(), this.options.log, 'retire jobs')
    })
  }

  /** One part after the other, so that a store that turns slow has one of these transactions, not one in each part. */
  private async flushAll (): Promise<void> {
    this.busy = true
    for (const part of this.waiting.keys()) if (this.options.clock.now() >= this.restUntil) await this.flush(part)
    this.busy = false
  }

  private async flush (part: string): Promise<void> {
    const jobs = this.waiting.get(part)!
    const batch = [...jobs].slice(0, JOBS_MAX)
    if (batch.length === 0) return
    const { clock, store } = this.options
    const since = clock.now()
    const outcome = await store.commit({
      expect: [],
      puts: batch.map(([id, phase]) => ({ ...endName(id), value: phase })),
      deletes: batch.flatMap(([id]) => [handInName(id), { ...handInName(id), key: id + CANCELLED }])
    })
    if (outcome.kind !== 'done' || clock.now() - since > SLOW_COMMIT) this.restUntil = clock.now() + REST
    // Without an answer the same rows are written again, which changes nothing.
    if (outcome.kind !== 'done') return
    for (const [id] of batch) jobs.delete(id)
    this.options.retired(batch.map(([id]) => id))
  }
}
