import type { KeyVerdict, Outcome, Result, StoredAnswer } from '@rattanstep/core'

/** What a front wants to know about a key before it runs a request. */
export interface KeyClaim {
  key: string
  /** Hash that tells a repeat from another request. */
  fingerprint: string
  /** Wall-clock ms at which the caller first sent the request; 0 when not known. */
  firstSent: number
}

/** What a key's home said. */
export interface ClaimResult {
  verdict: KeyVerdict
  /** Identifier of the claim; after `first` it is named when the request has ended. */
  claim: string
  outcome: Outcome
  answer: StoredAnswer | null
}

/** Why there is no verdict. Nothing may be run; the claim frees itself. */
export type ClaimFailure = 'no-verdict'

/** Memory of the requests that callers may repeat. */
export abstract class KeyRegistry {
  /** Whether nothing that was settled waits to be confirmed; a planned stop waits for it. */
  get isSettled (): boolean {
    return true
  }

  /**
   * Asks whether a request with a key may run.
   *
   * @param claim - the key and the request it stands for
   * @param signal - withdraws the question
   * @returns the verdict; only after `first` may the request run
   */
  abstract claim (claim: KeyClaim, signal: AbortSignal): Promise<Result<ClaimResult, ClaimFailure>>

  /**
   * Says how a request that was allowed to run has ended.
   *
   * @param claim - what was claimed
   * @param held - the answer whose verdict was `first`
   * @param outcome - `not-run` frees the key
   * @param answer - what later repeats get, or `null` when it is too large
   */
  abstract settle (claim: KeyClaim, held: ClaimResult, outcome: Outcome, answer: StoredAnswer | null): void
}
