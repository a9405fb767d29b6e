import type { Clock } from '@rattanstep/core'
import type { PhaseVerdict, Verdict } from '../types/callers.js'
import type { Job, JobPhase } from '../types/job.js'
import type { Answer, Question } from '../types/links.js'
import type { RecordStore, TransactionOutcome } from '../types/records.js'
import { writeHandIn } from './handInRow.js'
import type { JobRecord } from './jobRecord.js'
import { CANCELLED, handInPart } from './parts.js'

/** ms for which the decider is given time to answer before the store is read. */
const ASK_TIMEOUT = 300
/** ms between attempts at a write that had no answer. */
const RETRY_DELAY = 60
/** s after which callers of a node without the store may return: a short outage is over, other nodes are tried at once anyway. */
const STORE_RETRY_AFTER = 1
/** ms of silence of the store after which hand-ins are refused without trying. */
const STORE_SILENCE_MAX = 1800

/** The decider, as an entry node reaches it. */
export abstract class DeciderAccess {
  /** @returns the answer, or `undefined` when none came in time */
  abstract ask (question: Question, timeout: number): Promise<Answer | undefined>
  abstract tellJob (job: Job): void
  abstract tellCancel (id: string): void
}

/** Takes callers' wishes to the record and answers from it. */
export class Entry {
  /** Last counts of queues that the decider gave. */
  private readonly waiting = new Map<string, { count: number, at: number }>()

  constructor (private readonly options: { store: RecordStore, clock: Clock, decider: DeciderAccess }) {}

  /** @returns whether the store has answered lately enough to take hand-ins */
  get storeReachable (): boolean {
    return this.options.store.silence() < STORE_SILENCE_MAX
  }

  /**
   * Puts a job on record and hands it to the decider.
   *
   * @param job - the job
   * @param deadline - monotonic ms until which the caller waits
   */
  async submit (job: Job, deadline: number): Promise<Verdict> {
    if (!this.storeReachable) return storeAway()
    const name = { table: 'jobs', part: handInPart(job.id), key: job.id }
    const outcome = await this.commitSettled({ expect: [{ ...name, version: 0 }], puts: [{ ...name, value: writeHandIn(job) }] }, deadline)
    if (outcome.kind === 'refused') return storeAway(outcome.reason)
    if (outcome.kind === 'unknown') return { kind: 'unsettled', reason: outcome.reason }
    if (outcome.kind === 'done') this.options.decider.tellJob(job)
    return { kind: 'accepted', repeated: outcome.kind === 'conflict' }
  }

  /**
   * @param id - a job's id
   * @returns what is known of it
   */
  async phase (id: string): Promise<PhaseVerdict> {
    const answer = await this.options.decider.ask({ about: 'job', id }, ASK_TIMEOUT)
    if (answer?.about === 'job' && answer.phase !== 'unknown') return { kind: 'phase', phase: answer.phase }
    return await this.recordedPhase(id)
  }

  /**
   * Puts a cancellation on record and hands it to the decider.
   *
   * @param id - a job's id
   * @param deadline - monotonic ms until which the caller waits
   */
  async cancel (id: string, deadline: number): Promise<Verdict> {
    const phase = await this.phase(id)
    if (phase.kind !== 'phase') return phase
    if (phase.phase === 'cancelled' || phase.phase === 'completed' || phase.phase === 'failed') return { kind: 'cancelled' }
    if (!this.storeReachable) return storeAway()
    const name = { table: 'jobs', part: handInPart(id), key: id + CANCELLED }
    const outcome = await this.commitSettled({ expect: [], puts: [{ ...name, value: '{}' }] }, deadline)
    if (outcome.kind === 'refused') return storeAway(outcome.reason)
    if (outcome.kind === 'unknown') return { kind: 'unsettled', reason: outcome.reason }
    this.options.decider.tellCancel(id)
    return { kind: 'cancelled' }
  }

  /**
   * @param route - name of a queue
   * @param staleness - ms that a count may be old
   * @returns accepted jobs that have not begun, or `undefined` when that is not known
   */
  async countWaiting (route: string, staleness: number): Promise<number | undefined> {
    const { decider, clock } = this.options
    const answer = await decider.ask({ about: 'queue', route }, ASK_TIMEOUT)
    if (answer?.about === 'queue' && answer.waiting >= 0) {
      this.waiting.set(route, { count: answer.waiting, at: clock.now() })
      return answer.waiting
    }
    const last = this.waiting.get(route)
    return last !== undefined && clock.now() - last.at <= staleness ? last.count : undefined
  }

  private async recordedPhase (id: string): Promise<PhaseVerdict> {
    const { store } = this.options
    const [handIn, record] = await Promise.all([
      store.range({ table: 'jobs', part: handInPart(id), from: id, until: id + CANCELLED + '\0' }),
      store.range({ table: 'tasks', part: 'd', from: id, until: id + '\0' })
    ])
    if (handIn.isErr() || record.isErr()) return storeAway()
    const keys = handIn.value.rows.map(row => row.key)
    if (!keys.includes(id)) return { kind: 'unknown-job' }
    const row = record.value.rows[0]
    if (row !== undefined) return { kind: 'phase', phase: phaseOf(JSON.parse(row.value) as JobRecord) }
    return { kind: 'phase', phase: keys.includes(id + CANCELLED) ? 'cancelled' : 'queued' }
  }

  /** Repeats a write without an answer until one comes: its condition makes the repeat harmless. */
  private async commitSettled (transaction: Parameters<RecordStore['commit']>[0], deadline: number): Promise<TransactionOutcome> {
    const { store, clock } = this.options
    let unknown: TransactionOutcome | undefined
    for (;;) {
      const outcome = await store.commit(transaction)
      if (outcome.kind === 'done' || outcome.kind === 'conflict') return outcome
      if (outcome.kind === 'unknown') unknown = outcome
      // Once an attempt may have been carried out, a refusal of another says nothing about it.
      if (unknown === undefined) return outcome
      if (clock.now() + RETRY_DELAY >= deadline) return unknown
      await clock.sleep(RETRY_DELAY)
    }
  }
}

function phaseOf (record: JobRecord): JobPhase {
  return record.phase === 'open' ? 'running' : record.phase
}

function storeAway (reason = 'the store does not answer'): { kind: 'refused', reason: string, retryAfter: number } {
  return { kind: 'refused', reason, retryAfter: STORE_RETRY_AFTER }
}
