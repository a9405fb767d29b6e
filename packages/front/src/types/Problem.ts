import type { Outcome } from '@rattanstep/core'

/** What a caller is told when it gets no answer of an endpoint. */
export interface Problem {
  status: number
  outcome: Outcome
  /** Stable identifier of the kind of problem. */
  code: string
  /** What happened, and what the caller should do. */
  detail: string
  /** Milliseconds after which the caller may retry; 0 when a retry cannot succeed. */
  retryAfter: number
}
