import type { Clock } from '@rattanstep/core'
import type { PhaseVerdict, Verdict } from '../types/callers.js'
import type { Job, JobPhase } from '../types/job.js'
import type { Answer, Question } from '../types/links.js'
import type { RecordStore } from '../types/records.js'
import type { EndedPhase } from './Book.js'
import { writeHandIn } from './handInRow.js'
import { HandInWriter } from './HandInWriter.js'
import type { HandInRow, WriteOutcome } from './HandInWriter.js'
import type { JobRecord } from './jobRecord.js'
import { CANCELLED, endName, handInName, handInPart } from './parts.js'

/** ms for which the decider is given time to answer before the store is read. */
const ASK_TIMEOUT = 300
/** s after which callers of a node without the store may return: a short outage is over, other nodes are tried at once anyway. */
const STORE_RETRY_AFTER = 1
/** ms of silence of the store after which hand-ins are refused without trying. */
const STORE_SILENCE_MAX = 1800

/** ms of calls to the store that all fail at once after which hand-ins are refused without trying: longer than one broken connection. */
const STORE_FAILING_MAX = 200
/** ms that must be left of a caller's time: a write takes 10 to 20. With less nothing is written, so that the answer is certain. */
const TIME_MIN = 40

/** The decider, as an entry node reaches it. */
export abstract class DeciderAccess {
  /** @returns the answer, or `undefined` when none came in time */
  abstract ask (question: Question, timeout: number): Promise<Answer | undefined>
  abstract tellJob (job: Job): void
  abstract tellCancel (id: string): void

  /** @returns what came of a write at the decider's node, or `undefined` when this node is the decider or knows of none */
  abstract record (wish: Wish, deadline: number): Promise<WriteOutcome | undefined>
}

/** What of a caller goes on record. */
export type Wish = { kind: 'job', job: Job } | { kind: 'cancel', id: string }

/** `late`: too little of the caller's time was left, and nothing was written. */
type RecordOutcome = WriteOutcome | 'late'

/** Takes callers' wishes to the record and answers from it. */
export class Entry {
  /** Last counts of queues that the decider gave. */
  private readonly waiting = new Map<string, { count: number, at: number }>()
  private readonly writer: HandInWriter

  constructor (private readonly options: { store: RecordStore, clock: Clock, decider: DeciderAccess }) {
    this.writer = new HandInWriter(options)
  }

  /** @returns whether the store has answered lately enough to take hand-ins */
  get storeReachable (): boolean {
    const { store } = this.options
    return store.silence() < STORE_SILENCE_MAX && store.failing() < STORE_FAILING_MAX
  }

  /**
   * Puts a job on record and hands it to the decider.
   *
   * @param job - the job
   * @param deadline - monotonic ms until which the caller waits
   */
  async submit (job: Job, deadline: number): Promise<Verdict> {
    const outcome = await this.record({ kind: 'job', job }, deadline)
    return explainFailure(outcome) ?? { kind: 'accepted', repeated: outcome === 'repeated' }
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
    return explainFailure(await this.record({ kind: 'cancel', id }, deadline)) ?? { kind: 'cancelled' }
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

  /**
   * Writes a wish here, whatever the state of the store, and tells the decider.
   *
   * @param wish - of a caller of this node, or of one that can't write itself
   * @param deadline - monotonic ms
   * @param options - `persistent`: try again while the store is busy
   */
  async write (wish: Wish, deadline: number, { persistent = true } = {}): Promise<WriteOutcome> {
    const { decider } = this.options
    if (!this.storeReachable) return 'refused'
    const outcome = await this.writer.write(rowOf(wish), deadline, { persistent })
    if (outcome === 'done') {
      if (wish.kind === 'job') decider.tellJob(wish.job)
      else decider.tellCancel(wish.id)
    }
    return outcome
  }

  /**
   * Writes here, or has the decider write: a slow store takes fewer transactions, so the nodes share them, and a node that the store
   * turns away needs the decider's reach.
   */
  private async record (wish: Wish, deadline: number): Promise<RecordOutcome> {
    if (deadline - this.options.clock.now() < TIME_MIN) return 'late'
    const trusted = this.storeReachable && !this.writer.slow
    const here = trusted ? await this.write(wish, deadline, { persistent: false }) : 'busy'
    if (here !== 'busy' && here !== 'refused') return here
    const there = await this.options.decider.record(wish, deadline)
    if (there === undefined) return here === 'refused' ? here : await this.write(wish, deadline)
    return there === 'refused' && !trusted ? await this.write(wish, deadline) : there
  }

  private async recordedPhase (id: string): Promise<PhaseVerdict> {
    const { store } = this.options
    const [handIn, record, end] = await Promise.all([
      store.range({ table: 'jobs', part: handInPart(id), from: id, until: id + CANCELLED + '\0' }),
      store.range({ table: 'tasks', part: 'd', from: id, until: id + '\0' }),
      store.range({ ...endName(id), from: id, until: id + '\0' })
    ])
    if (handIn.isErr() || record.isErr() || end.isErr()) return storeAway()
    const [ended] = end.value.rows
    if (ended !== undefined) return { kind: 'phase', phase: ended.value as EndedPhase }
    const keys = handIn.value.rows.map(row => row.key)
    if (!keys.includes(id)) return { kind: 'unknown-job' }
    const row = record.value.rows[0]
    if (row !== undefined) return { kind: 'phase', phase: phaseOf(JSON.parse(row.value) as JobRecord) }
    return { kind: 'phase', phase: keys.includes(id + CANCELLED) ? 'cancelled' : 'queued' }
  }
}

function rowOf (wish: Wish): HandInRow {
  if (wish.kind === 'job') {
    const name = handInName(wish.job.id)
    return { name, value: writeHandIn(wish.job), absent: [name, endName(wish.job.id)] }
  }
  return { name: { ...handInName(wish.id), key: wish.id + CANCELLED }, value: '{}', absent: [] }
}

function phaseOf (record: JobRecord): JobPhase {
  return record.phase === 'open' ? 'running' : record.phase
}

/** @returns what the caller is told when a wish is not known to be on record */
function explainFailure (outcome: RecordOutcome): Verdict | undefined {
  switch (outcome) {
    case 'done':
    case 'repeated': return undefined
    case 'refused':
    case 'busy': return storeAway()
    case 'late': return { kind: 'refused', reason: 'too little time is left', retryAfter: STORE_RETRY_AFTER }
    case 'unknown': return { kind: 'unsettled', reason: 'the write was not answered in time' }
  }
}

function storeAway (): { kind: 'refused', reason: string, retryAfter: number } {
  return { kind: 'refused', reason: 'the store does not answer', retryAfter: STORE_RETRY_AFTER }
}
