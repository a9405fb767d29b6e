import type { Clock, Outcome, StoredAnswer } from '@rattanstep/core'
import type { ClaimResult, KeyClaim, KeyRegistry } from './KeyRegistry.js'
import { withCredentials } from './storedAnswer.js'

/** Longest wait for the end of another run of the same key, in ms. */
const RUNNING_WAIT_MS = 500

/** Time between questions about a run of the same key, in ms. */
const RUNNING_RETRY_MS = 100

/** What guards one request with a key. */
export interface RequestKeyOptions {
  keys: KeyRegistry
  clock: Clock
  claim: KeyClaim
  /** Hash of the caller's credentials, or empty. */
  credentials: string
}

/** Holds the key of one request from its claim to its end. */
export class RequestKey {
  private held: ClaimResult | null = null

  constructor (private readonly options: RequestKeyOptions) {}

  /**
   * Asks the key's home, and again for a short while as long as another run of the key goes on.
   *
   * @param maxWait - most ms to wait for another run
   * @param signal - withdraws the question
   * @returns what the home said, or `null` when it said nothing
   */
  async claim (maxWait: number, signal: AbortSignal): Promise<ClaimResult | null> {
    const { keys, clock, claim } = this.options
    const giveUpAt = clock.now() + Math.min(RUNNING_WAIT_MS, maxWait)
    for (;;) {
      const result = await keys.claim(claim, signal)
      if (result.isErr()) return null
      if (result.value.verdict === 'first') this.held = result.value
      if (result.value.verdict !== 'running' || clock.now() + RUNNING_RETRY_MS >= giveUpAt) return result.value
      await clock.sleep(RUNNING_RETRY_MS)
    }
  }

  /**
   * Says how the request ended. Only the first call after `first` counts.
   *
   * @param outcome - `not-run` frees the key
   * @param answer - the whole answer, when it is small enough to be remembered
   */
  settle (outcome: Outcome, answer: StoredAnswer | null): void {
    const { keys, claim, credentials } = this.options
    if (this.held === null) return
    keys.settle(claim, this.held, outcome, answer === null ? null : withCredentials(answer, credentials))
    this.held = null
  }
}
