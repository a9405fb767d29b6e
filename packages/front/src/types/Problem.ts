import type { Outcome } from '@rattanstep/core'

/** What a caller is told when it gets no endpoint's answer. */
export interface Problem {
  status: number
  outcome: Outcome
  /** Stable identifier of what is wrong. */
  code: string
  /** What happened and what to do. */
  detail: string
  /** Milliseconds after which a new attempt has a chance; 0 when none has. */
  retryAfter: number
}
