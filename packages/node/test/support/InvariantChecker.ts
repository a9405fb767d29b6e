import type { Outcome } from '@rattanstep/core'

/** What a caller was told; `cut`: its connection ended without an answer. */
export type ReportedOutcome = Outcome | 'cut'

interface RequestRecord {
  /** Whether it may run more than once. */
  idempotent: boolean
  runs: string[]
  outcomes: ReportedOutcome[]
  /** Sendings without an end. */
  pending: number
}

/** Counts what ran where and what callers were told, and notes each breach of what must always hold. */
export class InvariantChecker {
  readonly violations: string[] = []
  private readonly requests = new Map<number, RequestRecord>()

  /** @param now - ms of true time */
  constructor (private readonly now: () => number) {}

  /** @param what - what was broken */
  recordViolation (what: string): void {
    this.violations.push(`${Math.round(this.now())} ms: ${what}`)
  }

  /**
   * @param request - a caller's request
   * @param idempotent - whether it may run more than once
   */
  recordSent (request: number, idempotent: boolean): void {
    const entry = this.requests.get(request) ?? { idempotent, runs: [], outcomes: [], pending: 0 }
    entry.pending++
    this.requests.set(request, entry)
  }

  /**
   * @param request - a request that begins to run
   * @param worker - where
   */
  recordRun (request: number, worker: string): void {
    const entry = this.requests.get(request)!
    entry.runs.push(worker)
    if (!entry.idempotent && entry.runs.length > 1) this.recordViolation(`request ${request} ran at ${entry.runs.join(' and ')}`)
    if (entry.pending === 0 && entry.outcomes.every(outcome => outcome === 'not-run')) this.recordViolation(`request ${request} ran after its caller was told that it was not run`)
  }

  /**
   * @param request - a request whose sending has ended
   * @param outcome - what its caller was told
   * @param tag - content of the answer, if there was one
   */
  recordOutcome (request: number, outcome: ReportedOutcome, tag: string | null = null): void {
    const entry = this.requests.get(request)!
    entry.pending--
    entry.outcomes.push(outcome)
    if (tag !== null && tag !== `answer to ${request}`) this.recordViolation(`request ${request} got the ${tag}`)
    if (outcome === 'run' && entry.runs.length === 0) this.recordViolation(`request ${request} was called run and never ran`)
    const onlyNotRun = entry.pending === 0 && entry.outcomes.every(reported => reported === 'not-run')
    if (onlyNotRun && entry.runs.length > 0) this.recordViolation(`request ${request} was called not run and ran at ${entry.runs.join(', ')}`)
  }

  /** Notes each request that nobody ended. */
  checkAllAnswered (): void {
    for (const [request, entry] of this.requests) {
      if (entry.pending > 0) this.recordViolation(`request ${request} never got an answer`)
    }
  }

  /** @returns counts over all requests */
  counts (): Record<ReportedOutcome | 'requests' | 'runs', number> {
    const counts = { requests: this.requests.size, runs: 0, run: 0, 'not-run': 0, unknown: 0, cut: 0 }
    for (const entry of this.requests.values()) {
      counts.runs += entry.runs.length
      for (const outcome of entry.outcomes) counts[outcome]++
    }
    return counts
  }
}
