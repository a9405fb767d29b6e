import type { KeyVerdict, Outcome, Result, StoredAnswer } from '@rattanstep/core'

/** A claim to run a request under its idempotency key. */
export interface KeyClaim {
  key: string
  /** Hash that distinguishes a repeat of the request from another request with the same key. */
  fingerprint: string
  /** Wall-clock ms at which the caller first sent the request; 0 when unknown. */
  firstSent: number
}

/** Answer of a key's home to a claim. */
export interface ClaimResult {
  verdict: KeyVerdict
  /** Identifier of the claim; after the verdict `first` it goes into the settle of the request. */
  claim: string
  outcome: Outcome
  answer: StoredAnswer | null
}

/** Why a claim got no verdict. The request must not be run; the registry withdraws the claim itself. */
export type ClaimFailure = 'no-verdict'

/** Registry of idempotency keys, which lets each request with a key run at most once. */
export abstract class KeyRegistry {
  /** Whether every settle was confirmed. A planned stop waits for this. */
  get isSettled (): boolean {
    return true
  }

  /**
   * Asks whether a request with a key may run.
   *
   * @param claim - the key and the request that it belongs to
   * @param signal - withdraws the claim when aborted
   * @returns the verdict, or why there is none; the request may run only after the verdict `first`
   */
  abstract claim (claim: KeyClaim, signal: AbortSignal): Promise<Result<ClaimResult, ClaimFailure>>

  /**
   * Reports how a request that was allowed to run has ended.
   *
   * @param claim - the claim of the request
   * @param granted - the answer to the claim, with the verdict `first`
   * @param outcome - outcome of the request; `not-run` frees the key
   * @param answer - the answer that repeats get, or `null` when there is none or it is too large
   */
  abstract settle (claim: KeyClaim, granted: ClaimResult, outcome: Outcome, answer: StoredAnswer | null): void
}
