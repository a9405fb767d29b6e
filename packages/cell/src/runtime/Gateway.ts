import type { Clock } from '@rattanstep/core'
import type { PhaseOutcome, RequestOutcome } from '../types/callers.js'
import type { Job, RecordedJob } from '../types/job.js'
import type { Answer, Question } from '../types/links.js'
import type { OpenJobGate } from '../openJobs/OpenJobGate.js'
import type { AdmissionGate } from './AdmissionGate.js'
import type { RecordStore } from '../types/records.js'
import type { EndedPhase } from './Registry.js'
import { AnswerWindow } from '../starts/AnswerWindow.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { encodeSubmission } from './submissionRow.js'
import { SubmissionWriter } from './SubmissionWriter.js'
import type { SubmissionRow, WriteOutcome, WriteResult } from './SubmissionWriter.js'
import { recordedPhase } from './jobRecord.js'
import type { JobRecord } from './jobRecord.js'
import { CANCELLATION_SUFFIX, endRowName, RECORDS, submissionRowName, submissionPart, WITHDRAWN } from './rowNames.js'

/** Timeout of a query to the decider, after which the store is read instead. */
const QUERY_TIMEOUT_MS = 300
/** Retry delay for callers of a node that the store doesn't answer: a short outage is over by then, and callers try other nodes at once anyway. */
const STORE_RETRY_AFTER_S = 1
/** Retry delay for callers of a node at which too many requests wait: a write takes 10 to 20 ms, and 200 to 300 ms when the store is slow. */
const OVERLOAD_RETRY_AFTER_S = 1
/** Store silence from which writes are refused without an attempt. */
const MAX_STORE_SILENCE_MS = 1800

/** Time of consecutive immediate failures of the store from which writes are refused without an attempt; longer than one broken connection. */
const MAX_STORE_FAILING_MS = 200
/**
 * Minimum time left before the caller's deadline for a write, which takes 10 to 20 ms. With less, nothing is written, so that the outcome
 * is certain.
 */
const MIN_WRITE_TIME_MS = 40

/** Numbers of refused submissions for which the store is asked at the same time whether they repeat an accepted one: at least, and at most. */
const MIN_CONCURRENT_LOOKUPS = 4
const MAX_CONCURRENT_LOOKUPS = 64

/** Access to the decider, which may be this node or another one. */
export abstract class DeciderClient {
  /**
   * @param question - the query
   * @param timeout - ms
   * @returns the answer, or `undefined` if none arrived in time
   */
  abstract query (question: Question, timeout: number): Promise<Answer | undefined>

  /** Notifies the decider of a job that is on record. */
  abstract announceJob (recorded: RecordedJob): void

  /** Notifies the decider of a cancellation that is on record. */
  abstract announceCancellation (id: string): void

  /**
   * Has the decider's node write a request to the store.
   *
   * @param request - job or cancellation to write
   * @param deadline - monotonic ms
   * @returns the outcome of the write, or `undefined` if this node is the decider or knows of none
   */
  abstract forwardWrite (request: WriteRequest, deadline: number): Promise<WriteOutcome | undefined>
}

/** Job, cancellation, or cancellation of a job that is not on record, which a caller wants on record. */
export type WriteRequest = { kind: 'job', job: Job } | { kind: 'cancel' | 'withdraw', id: string }

/** `late`: too little of the caller's time was left; `full`: too many writes wait; `rejected`: the store will never accept it. Nothing was written in these cases. */
type PersistOutcome = WriteOutcome | 'late' | 'full' | 'rejected'

/** Numbers of requests that may wait for their outcome. */
export interface WaitingLimits {
  waitingWrites: number
  waitingQueries: number
}

/** Handles callers' requests at a node: records jobs and cancellations in the store, and answers queries. */
export class Gateway {
  /** Last count of waiting jobs that the decider reported, by route. */
  private readonly lastCounts = new Map<string, { count: number, at: number }>()
  private readonly writer: SubmissionWriter
  /** Writes of callers, and queries, that wait for their outcome. */
  private readonly waiting = { waitingWrites: 0, waitingQueries: 0 }
  private readonly lookupWindow: AnswerWindow
  private readonly lookups: ConcurrencyLimit

  /** @param options - `limits`: numbers of writes and queries that may wait; `onLimit`: called when one is refused for that */
  constructor (private readonly options: { store: RecordStore, clock: Clock, decider: DeciderClient, admission?: AdmissionGate, openJobGate?: OpenJobGate, limits?: WaitingLimits, onLimit?: (limit: keyof WaitingLimits) => void }) {
    this.lookupWindow = new AnswerWindow({ clock: options.clock, initial: MIN_CONCURRENT_LOOKUPS, least: MIN_CONCURRENT_LOOKUPS, most: MAX_CONCURRENT_LOOKUPS })
    this.lookups = new ConcurrencyLimit(() => this.lookupWindow.size)
    this.writer = new SubmissionWriter({ ...options, maxWaiting: options.limits?.waitingWrites ?? Infinity, onFull: () => { options.onLimit?.('waitingWrites') } })
  }

  /** @returns whether the store has answered recently enough for this node to attempt a write */
  get isStoreReachable (): boolean {
    const { store } = this.options
    return store.silentFor() < MAX_STORE_SILENCE_MS && store.failingFor() < MAX_STORE_FAILING_MS
  }

  /**
   * Records a job and notifies the decider.
   *
   * @param job - the job
   * @param deadline - time until which the caller waits, in monotonic ms
   */
  async submit (job: Job, deadline: number): Promise<RequestOutcome> {
    const { admission, openJobGate } = this.options
    const refusal = admission?.judge(job)
    // A job that an earlier request has submitted is not refused: it may run.
    if (refusal !== undefined && (await this.readRecordedPhase(job.id)).kind === 'unknown-job') {
      admission!.note(job, refusal)
      return { kind: 'refused', reason: 'too much work waits for the job to end in time', retryAfter: refusal.retryAfter }
    }
    const noRoom = openJobGate?.judge(job)
    if (noRoom !== undefined) {
      const earlier = await this.findEarlierSubmission(job.id, deadline)
      if (earlier === 'found') return { kind: 'accepted', repeated: true }
      if (earlier === 'unknown') return { kind: 'unsettled', reason: 'it is not known whether the job was submitted before' }
      openJobGate!.note(job, noRoom)
      return { kind: 'refused', reason: 'too many jobs are open', retryAfter: noRoom.retryAfter }
    }
    const outcome = await this.persist({ kind: 'job', job }, deadline)
    return explainFailure(outcome) ?? { kind: 'accepted', repeated: outcome === 'repeated' }
  }

  /**
   * @param id - id of a job
   * @returns the job's phase, from the decider or else from the store
   */
  async phase (id: string): Promise<PhaseOutcome> {
    return await this.runWithin('waitingQueries', async () => await this.findPhase(id)) ?? { kind: 'refused', reason: 'too many queries wait', retryAfter: OVERLOAD_RETRY_AFTER_S }
  }

  private async findPhase (id: string): Promise<PhaseOutcome> {
    const answer = await this.options.decider.query({ about: 'job', id }, QUERY_TIMEOUT_MS)
    if (answer?.about === 'job' && answer.phase !== 'unknown') return { kind: 'phase', phase: answer.phase }
    const recorded = await this.readRecordedPhase(id)
    // The decider tells its last phase only if no other node can have become the decider.
    if (recorded.kind === 'refused' && answer?.about === 'job' && answer.assumed !== undefined) return { kind: 'phase', phase: answer.assumed }
    return recorded
  }

  /**
   * Records a cancellation and notifies the decider. The cancellation of an unknown job is recorded too, because the job's submission may still be on its
   * way: at a node that is frozen, or as a transaction that the store carries out late.
   *
   * @param id - id of a job
   * @param deadline - time until which the caller waits, in monotonic ms
   */
  async cancel (id: string, deadline: number): Promise<RequestOutcome> {
    const phase = await this.phase(id)
    if (phase.kind === 'refused') return phase
    if (phase.kind === 'unknown-job') {
      const outcome = await this.persist({ kind: 'withdraw', id }, deadline)
      if (outcome === 'done' || outcome === 'withdrawn') return { kind: 'unknown-job' }
      if (outcome !== 'repeated') return explainFailure(outcome) ?? { kind: 'unknown-job' }
      // The submission was accepted in the meantime; it is cancelled like any other.
    } else if (phase.phase === 'cancelled' || phase.phase === 'completed' || phase.phase === 'failed') return { kind: 'cancelled' }
    return explainFailure(await this.persist({ kind: 'cancel', id }, deadline)) ?? { kind: 'cancelled' }
  }

  /**
   * @param route - name of a route
   * @param maxAge - maximum age in ms of a count that is used when the decider doesn't answer
   * @returns number of accepted jobs that have not started, or `undefined` if it is not known
   */
  async countWaiting (route: string, maxAge: number): Promise<number | undefined> {
    const { decider, clock } = this.options
    const answer = await this.runWithin('waitingQueries', async () => await decider.query({ about: 'queue', route }, QUERY_TIMEOUT_MS))
    if (answer?.about === 'queue' && answer.waiting >= 0) {
      this.lastCounts.set(route, { count: answer.waiting, at: clock.now() })
      return answer.waiting
    }
    const last = this.lastCounts.get(route)
    return last !== undefined && clock.now() - last.at <= maxAge ? last.count : undefined
  }

  /**
   * Writes a request from this node, even if the store is slow, and notifies the decider.
   *
   * @param request - request of a caller of this node, or of a node that can't write itself
   * @param deadline - monotonic ms
   * @param options - `retryWhenBusy`: whether to retry while the store is busy
   */
  async write (request: WriteRequest, deadline: number, { retryWhenBusy = true } = {}): Promise<WriteOutcome> {
    const outcome = await this.writeHere(request, deadline, retryWhenBusy)
    // Nodes of earlier versions don't know that outcome.
    return outcome === 'rejected' ? 'refused' : outcome
  }

  private async writeHere (request: WriteRequest, deadline: number, retryWhenBusy: boolean): Promise<WriteResult['outcome']> {
    const { decider } = this.options
    if (!this.isStoreReachable) return 'refused'
    const result = await this.writer.write(submissionRowOf(request), deadline, { retryWhenBusy })
    if (result.outcome === 'done') {
      if (request.kind === 'job') decider.announceJob({ job: request.job, version: result.version })
      else if (request.kind === 'cancel') decider.announceCancellation(request.id)
    }
    return result.outcome
  }

  /**
   * Writes from this node or through the decider. A slow store handles fewer transactions, so the nodes combine their writes at the
   * decider; a node that the store refuses depends on the decider's access to the store.
   */
  private async persist (request: WriteRequest, deadline: number): Promise<PersistOutcome> {
    return await this.runWithin('waitingWrites', async () => await this.persistWaiting(request, deadline)) ?? 'full'
  }

  /** Runs an operation unless too many of its kind are under way; then the result is `undefined`. */
  private async runWithin<Value> (limit: keyof WaitingLimits, operation: () => Promise<Value>): Promise<Value | undefined> {
    const { waiting, options: { limits, onLimit } } = this
    if (limits !== undefined && waiting[limit] >= limits[limit]) {
      onLimit?.(limit)
      return undefined
    }
    waiting[limit]++
    try {
      return await operation()
    } finally {
      waiting[limit]--
    }
  }

  private async persistWaiting (request: WriteRequest, deadline: number): Promise<PersistOutcome> {
    if (deadline - this.options.clock.now() < MIN_WRITE_TIME_MS) return 'late'
    const canWriteHere = this.isStoreReachable && !this.writer.isSlow
    const ownOutcome = canWriteHere ? await this.writeHere(request, deadline, false) : 'busy'
    if (ownOutcome !== 'busy' && ownOutcome !== 'refused') return ownOutcome
    const deciderOutcome = await this.options.decider.forwardWrite(request, deadline)
    if (deciderOutcome === undefined) return ownOutcome === 'refused' ? ownOutcome : await this.writeHere(request, deadline, true)
    return deciderOutcome === 'refused' && !canWriteHere ? await this.writeHere(request, deadline, true) : deciderOutcome
  }

  /** Looks for a submission of a job before it is refused. While many are refused, the lookups take turns, so that the store answers others. */
  private async findEarlierSubmission (id: string, deadline: number): Promise<'found' | 'none' | 'unknown'> {
    const { clock } = this.options
    if (this.lookups.isFull) this.lookupWindow.noteLimit()
    return await this.runWithin('waitingQueries', async () => await this.lookups.run(async () => clock.now() < deadline ? await this.lookUpSubmission(id) : undefined)) ?? 'unknown'
  }

  private async lookUpSubmission (id: string): Promise<'found' | 'none' | 'unknown'> {
    const { store, clock } = this.options
    const sentAt = clock.now()
    const submission = await store.range({ table: 'jobs', part: submissionPart(id), from: id, until: id + '\0' })
    if (submission.isErr()) return 'unknown'
    this.lookupWindow.noteAnswer(sentAt)
    if (submission.value.rows.length > 0) return 'found'
    // A job may be archived between two reads, so the row of its end is read last.
    const end = await store.range({ ...endRowName(id), from: id, until: id + '\0' })
    if (end.isErr()) return 'unknown'
    const [ended] = end.value.rows
    return ended === undefined || ended.value === WITHDRAWN ? 'none' : 'found'
  }

  private async readRecordedPhase (id: string): Promise<PhaseOutcome> {
    const { store } = this.options
    const [submission, record] = await Promise.all([
      store.range({ table: 'jobs', part: submissionPart(id), from: id, until: id + CANCELLATION_SUFFIX + '\0' }),
      store.range({ ...RECORDS, from: id, until: id + '\0' })
    ])
    if (submission.isErr() || record.isErr()) return storeUnavailable()
    const keys = submission.value.rows.map(row => row.key)
    const [row] = record.value.rows
    if (keys.includes(id) && row !== undefined) return { kind: 'phase', phase: recordedPhase(JSON.parse(row.value) as JobRecord) }
    // A job may be archived between two reads, so the row of its end is read last.
    const end = await store.range({ ...endRowName(id), from: id, until: id + '\0' })
    if (end.isErr()) return storeUnavailable()
    const [ended] = end.value.rows
    if (ended?.value === WITHDRAWN) return { kind: 'unknown-job' }
    if (ended !== undefined) return { kind: 'phase', phase: ended.value as EndedPhase }
    if (!keys.includes(id)) return { kind: 'unknown-job' }
    return { kind: 'phase', phase: keys.includes(id + CANCELLATION_SUFFIX) ? 'cancelled' : 'queued' }
  }
}

function submissionRowOf (request: WriteRequest): SubmissionRow {
  const id = request.kind === 'job' ? request.job.id : request.id
  const submission = submissionRowName(id)
  const end = endRowName(id)
  switch (request.kind) {
    case 'job': return { name: submission, value: encodeSubmission(request.job), absent: [submission, end] }
    case 'cancel': return { name: { ...submission, key: id + CANCELLATION_SUFFIX }, value: '{}', absent: [end] }
    case 'withdraw': return { name: end, value: WITHDRAWN, absent: [submission, end] }
  }
}

/** @returns the response for a request that is not known to be on record, or `undefined` if it is on record */
function explainFailure (outcome: PersistOutcome): RequestOutcome | undefined {
  switch (outcome) {
    case 'done':
    case 'repeated': return undefined
    case 'refused':
    case 'busy': return storeUnavailable()
    case 'withdrawn': return { kind: 'refused', reason: 'the job was cancelled before it was submitted' }
    case 'full': return { kind: 'refused', reason: 'too many jobs wait to be written', retryAfter: OVERLOAD_RETRY_AFTER_S }
    case 'rejected': return { kind: 'refused', reason: 'the store does not accept the job' }
    case 'late': return { kind: 'refused', reason: 'too little time is left', retryAfter: STORE_RETRY_AFTER_S }
    case 'unknown': return { kind: 'unsettled', reason: 'the write was not answered in time' }
  }
}

function storeUnavailable (): { kind: 'refused', reason: string, retryAfter: number } {
  return { kind: 'refused', reason: 'the store does not answer', retryAfter: STORE_RETRY_AFTER_S }
}
