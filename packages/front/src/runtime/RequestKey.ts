import type { Clock, Outcome, StoredAnswer } from '@rattanstep/core'
import type { ClaimResult, KeyClaim, KeyRegistry } from './KeyRegistry.js'
import { withCredentials } from './storedAnswer.js'

/** Longest wait for another run with the same key to end, in ms. */
const RUNNING_WAIT_MS = 500

/** Interval between claims while another run with the same key goes on, in ms. */
const RUNNING_RETRY_MS = 100

/** Options of `RequestKey`. */
export interface RequestKeyOptions {
  keys: KeyRegistry
  clock: Clock
  claim: KeyClaim
  /** Hash of the caller's credentials; empty when there are none. */
  credentials: string
}

/** The idempotency key of one request, from its claim until the request has ended. */
export class RequestKey {
  private granted: ClaimResult | null = null

  constructor (private readonly options: RequestKeyOptions) {}

  /**
   * Claims the key at its home. While another run with the key goes on, claims it again for a short time.
   *
   * @param maxWait - maximum ms to wait for the other run to end
   * @param signal - withdraws the claim when aborted
   * @returns the answer of the home, or `null` when there was none
   */
  async claim (maxWait: number, signal: AbortSignal): Promise<ClaimResult | null> {
    const { keys, clock, claim } = this.options
    const giveUpAt = clock.now() + Math.min(RUNNING_WAIT_MS, maxWait)
    for (;;) {
      const result = await keys.claim(claim, signal)
      if (result.isErr()) return null
      if (result.value.verdict === 'first') this.granted = result.value
      if (result.value.verdict !== 'running' || clock.now() + RUNNING_RETRY_MS >= giveUpAt) return result.value
      await clock.sleep(RUNNING_RETRY_MS)
    }
  }

  /**
   * Reports to the home how the request ended. Does nothing unless the claim was granted, and only the first call counts.
   *
   * @param outcome - outcome of the request; `not-run` frees the key
   * @param answer - the complete answer, or `null` when there is none or it is too large to be stored
   */
  settle (outcome: Outcome, answer: StoredAnswer | null): void {
    const { keys, claim, credentials } = this.options
    if (this.granted === null) return
    keys.settle(claim, this.granted, outcome, answer === null ? null : withCredentials(answer, credentials))
    this.granted = null
  }
}
