import type { Clock, Random } from '@rattanstep/core'

/** Exponential backoff with jitter: each failure doubles the delay before the next attempt, up to a maximum. */
export class Backoff {
  private readonly clock: Clock
  private readonly random: Random
  private readonly initialDelay: number
  private readonly maxDelay: number
  private failures = 0
  private retryAt = -Infinity

  /** @param options - the clock, random numbers, and the initial and maximum delay in ms */
  constructor (options: { clock: Clock, random: Random, initial: number, max: number }) {
    this.clock = options.clock
    this.random = options.random
    this.initialDelay = options.initial
    this.maxDelay = options.max
  }

  /** Whether the delay before the next attempt is still running. */
  get isWaiting (): boolean {
    return this.clock.now() < this.retryAt
  }

  /**
   * Starts the delay before the next attempt.
   *
   * @returns ms until the next attempt
   */
  recordFailure (): number {
    const delay = this.random.jitter(Math.min(this.maxDelay, this.initialDelay * 2 ** this.failures))
    this.failures++
    this.retryAt = this.clock.now() + delay
    return delay
  }

  /** Resets the delay. */
  recordSuccess (): void {
    this.failures = 0
    this.retryAt = -Infinity
  }
}
