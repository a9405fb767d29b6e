import type { Outcome } from '@rattanstep/core'

/** Outcome as reported to a caller; `cut`: its connection ended without an answer. */
export type ReportedOutcome = Outcome | 'cut'

interface RequestRecord {
  /** Whether the request may run more than once. */
  idempotent: boolean
  /** Workers that ran the request. */
  runs: string[]
  outcomes: ReportedOutcome[]
  /** Number of attempts that have not ended. */
  pending: number
}

/** Records where requests ran and which outcomes callers got, and collects every violated invariant. */
export class InvariantChecker {
  readonly violations: string[] = []
  private readonly requests = new Map<number, RequestRecord>()

  /** @param now - returns the simulated time in ms */
  constructor (private readonly now: () => number) {}

  /**
   * Records a violation with the current time.
   *
   * @param what - description of the violation
   */
  recordViolation (what: string): void {
    this.violations.push(`${Math.round(this.now())} ms: ${what}`)
  }

  /**
   * Records that a caller sent a request.
   *
   * @param request - number of the request
   * @param idempotent - whether it may run more than once
   */
  recordSent (request: number, idempotent: boolean): void {
    const entry = this.requests.get(request) ?? { idempotent, runs: [], outcomes: [], pending: 0 }
    entry.pending++
    this.requests.set(request, entry)
  }

  /**
   * Records that a worker started to run a request.
   *
   * @param request - number of the request
   * @param worker - the worker
   */
  recordRun (request: number, worker: string): void {
    const entry = this.requests.get(request)!
    entry.runs.push(worker)
    if (!entry.idempotent && entry.runs.length > 1) this.recordViolation(`request ${request} ran at ${entry.runs.join(' and ')}`)
    if (entry.pending === 0 && entry.outcomes.every(outcome => outcome === 'not-run')) this.recordViolation(`request ${request} ran after its caller was told that it was not run`)
  }

  /**
   * Records how an attempt to send a request ended.
   *
   * @param request - number of the request
   * @param outcome - outcome reported to the caller
   * @param tag - content of the answer, or `null` if there was none
   */
  recordOutcome (request: number, outcome: ReportedOutcome, tag: string | null = null): void {
    const entry = this.requests.get(request)!
    entry.pending--
    entry.outcomes.push(outcome)
    if (tag !== null && tag !== `answer to ${request}`) this.recordViolation(`request ${request} got the wrong answer: ${tag}`)
    if (outcome === 'run' && entry.runs.length === 0) this.recordViolation(`request ${request} was reported as run but never ran`)
    const onlyNotRun = entry.pending === 0 && entry.outcomes.every(reported => reported === 'not-run')
    if (onlyNotRun && entry.runs.length > 0) this.recordViolation(`request ${request} was reported as not run but ran at ${entry.runs.join(', ')}`)
  }

  /** Records a violation for each request with an attempt that has not ended. */
  checkAllAnswered (): void {
    for (const [request, entry] of this.requests) {
      if (entry.pending > 0) this.recordViolation(`request ${request} never got an answer`)
    }
  }

  /** @returns number of requests and runs, and number of attempts by outcome */
  counts (): Record<ReportedOutcome | 'requests' | 'runs', number> {
    const counts = { requests: this.requests.size, runs: 0, run: 0, 'not-run': 0, unknown: 0, cut: 0 }
    for (const entry of this.requests.values()) {
      counts.runs += entry.runs.length
      for (const outcome of entry.outcomes) counts[outcome]++
    }
    return counts
  }
}
