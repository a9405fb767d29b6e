import type { Clock } from '@rattanstep/core'
import type { PhaseOutcome, RequestOutcome } from '../types/callers.js'
import type { Job, JobPhase } from '../types/job.js'
import type { Answer, Question } from '../types/links.js'
import type { RecordStore } from '../types/records.js'
import type { EndedPhase } from './Registry.js'
import { encodeSubmission } from './submissionRow.js'
import { SubmissionWriter } from './SubmissionWriter.js'
import type { SubmissionRow, WriteOutcome } from './SubmissionWriter.js'
import type { JobRecord } from './jobRecord.js'
import { CANCELLATION_SUFFIX, endRowName, submissionRowName, submissionPart } from './rowNames.js'

/** ms for which the decider is given time to answer before the store is read. */
const QUERY_TIMEOUT_MS = 300
/** s after which callers of a node without the store may return: a short outage is over, other nodes are tried at once anyway. */
const STORE_RETRY_AFTER_S = 1
/** ms of silence of the store after which hand-ins are refused without trying. */
const MAX_STORE_SILENCE_MS = 1800

/** ms of calls to the store that all fail at once after which hand-ins are refused without trying: longer than one broken connection. */
const MAX_STORE_FAILING_MS = 200
/** ms that must be left of a caller's time: a write takes 10 to 20. With less nothing is written, so that the answer is certain. */
const MIN_WRITE_TIME_MS = 40

/** The decider, as an entry node reaches it. */
export abstract class DeciderClient {
  /** @returns the answer, or `undefined` when none came in time */
  abstract query (question: Question, timeout: number): Promise<Answer | undefined>
  abstract announceJob (job: Job): void
  abstract announceCancellation (id: string): void

  /** @returns what came of a write at the decider's node, or `undefined` when this node is the decider or knows of none */
  abstract forwardWrite (request: WriteRequest, deadline: number): Promise<WriteOutcome | undefined>
}

/** What of a caller goes on record. */
export type WriteRequest = { kind: 'job', job: Job } | { kind: 'cancel', id: string }

/** `late`: too little of the caller's time was left, and nothing was written. */
type PersistOutcome = WriteOutcome | 'late'

/** Takes callers' wishes to the record and answers from it. */
export class Gateway {
  /** Last counts of queues that the decider gave. */
  private readonly lastCounts = new Map<string, { count: number, at: number }>()
  private readonly writer: SubmissionWriter

  constructor (private readonly options: { store: RecordStore, clock: Clock, decider: DeciderClient }) {
    this.writer = new SubmissionWriter(options)
  }

  /** @returns whether the store has answered lately enough to take hand-ins */
  get isStoreReachable (): boolean {
    const { store } = this.options
    return store.silentFor() < MAX_STORE_SILENCE_MS && store.failingFor() < MAX_STORE_FAILING_MS
  }

  /**
   * Puts a job on record and hands it to the decider.
   *
   * @param job - the job
   * @param deadline - monotonic ms until which the caller waits
   */
  async submit (job: Job, deadline: number): Promise<RequestOutcome> {
    const outcome = await this.persist({ kind: 'job', job }, deadline)
    return explainFailure(outcome) ?? { kind: 'accepted', repeated: outcome === 'repeated' }
  }

  /**
   * @param id - a job's id
   * @returns what is known of it
   */
  async phase (id: string): Promise<PhaseOutcome> {
    const answer = await this.options.decider.query({ about: 'job', id }, QUERY_TIMEOUT_MS)
    if (answer?.about === 'job' && answer.phase !== 'unknown') return { kind: 'phase', phase: answer.phase }
    return await this.readRecordedPhase(id)
  }

  /**
   * Puts a cancellation on record and hands it to the decider.
   *
   * @param id - a job's id
   * @param deadline - monotonic ms until which the caller waits
   */
  async cancel (id: string, deadline: number): Promise<RequestOutcome> {
    const phase = await this.phase(id)
    if (phase.kind !== 'phase') return phase
    if (phase.phase === 'cancelled' || phase.phase === 'completed' || phase.phase === 'failed') return { kind: 'cancelled' }
    return explainFailure(await this.persist({ kind: 'cancel', id }, deadline)) ?? { kind: 'cancelled' }
  }

  /**
   * @param route - name of a queue
   * @param staleness - ms that a count may be old
   * @returns accepted jobs that have not begun, or `undefined` when that is not known
   */
  async countWaiting (route: string, staleness: number): Promise<number | undefined> {
    const { decider, clock } = this.options
    const answer = await decider.query({ about: 'queue', route }, QUERY_TIMEOUT_MS)
    if (answer?.about === 'queue' && answer.waiting >= 0) {
      this.lastCounts.set(route, { count: answer.waiting, at: clock.now() })
      return answer.waiting
    }
    const last = this.lastCounts.get(route)
    return last !== undefined && clock.now() - last.at <= staleness ? last.count : undefined
  }

  /**
   * Writes a wish here, whatever the state of the store, and tells the decider.
   *
   * @param request - of a caller of this node, or of one that can't write itself
   * @param deadline - monotonic ms
   * @param options - `persistent`: try again while the store is busy
   */
  async write (request: WriteRequest, deadline: number, { persistent: retryWhenBusy = true } = {}): Promise<WriteOutcome> {
    const { decider } = this.options
    if (!this.isStoreReachable) return 'refused'
    const outcome = await this.writer.write(submissionRowOf(request), deadline, { persistent: retryWhenBusy })
    if (outcome === 'done') {
      if (request.kind === 'job') decider.announceJob(request.job)
      else decider.announceCancellation(request.id)
    }
    return outcome
  }

  /**
   * Writes here, or has the decider write: a slow store takes fewer transactions, so the nodes share them, and a node that the store
   * turns away needs the decider's reach.
   */
  private async persist (request: WriteRequest, deadline: number): Promise<PersistOutcome> {
    if (deadline - this.options.clock.now() < MIN_WRITE_TIME_MS) return 'late'
    const canWriteHere = this.isStoreReachable && !this.writer.isSlow
    const ownOutcome = canWriteHere ? await this.write(request, deadline, { persistent: false }) : 'busy'
    if (ownOutcome !== 'busy' && ownOutcome !== 'refused') return ownOutcome
    const deciderOutcome = await this.options.decider.forwardWrite(request, deadline)
    if (deciderOutcome === undefined) return ownOutcome === 'refused' ? ownOutcome : await this.write(request, deadline)
    return deciderOutcome === 'refused' && !canWriteHere ? await this.write(request, deadline) : deciderOutcome
  }

  private async readRecordedPhase (id: string): Promise<PhaseOutcome> {
    const { store } = this.options
    const [submission, record, end] = await Promise.all([
      store.range({ table: 'jobs', part: submissionPart(id), from: id, until: id + CANCELLATION_SUFFIX + '\0' }),
      store.range({ table: 'tasks', part: 'd', from: id, until: id + '\0' }),
      store.range({ ...endRowName(id), from: id, until: id + '\0' })
    ])
    if (submission.isErr() || record.isErr() || end.isErr()) return storeUnavailable()
    const [ended] = end.value.rows
    if (ended !== undefined) return { kind: 'phase', phase: ended.value as EndedPhase }
    const keys = submission.value.rows.map(row => row.key)
    if (!keys.includes(id)) return { kind: 'unknown-job' }
    const row = record.value.rows[0]
    if (row !== undefined) return { kind: 'phase', phase: phaseOf(JSON.parse(row.value) as JobRecord) }
    return { kind: 'phase', phase: keys.includes(id + CANCELLATION_SUFFIX) ? 'cancelled' : 'queued' }
  }
}

function submissionRowOf (request: WriteRequest): SubmissionRow {
  if (request.kind === 'job') {
    const name = submissionRowName(request.job.id)
    return { name, value: encodeSubmission(request.job), absent: [name, endRowName(request.job.id)] }
  }
  return { name: { ...submissionRowName(request.id), key: request.id + CANCELLATION_SUFFIX }, value: '{}', absent: [] }
}

function phaseOf (record: JobRecord): JobPhase {
  return record.phase === 'open' ? 'running' : record.phase
}

/** @returns what the caller is told when a wish is not known to be on record */
function explainFailure (outcome: PersistOutcome): RequestOutcome | undefined {
  switch (outcome) {
    case 'done':
    case 'repeated': return undefined
    case 'refused':
    case 'busy': return storeUnavailable()
    case 'late': return { kind: 'refused', reason: 'too little time is left', retryAfter: STORE_RETRY_AFTER_S }
    case 'unknown': return { kind: 'unsettled', reason: 'the write was not answered in time' }
  }
}

function storeUnavailable (): { kind: 'refused', reason: string, retryAfter: number } {
  return { kind: 'refused', reason: 'the store does not answer', retryAfter: STORE_RETRY_AFTER_S }
}
