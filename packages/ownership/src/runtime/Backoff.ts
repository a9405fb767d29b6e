import type { Clock, Random } from '@rattanstep/core'

/** Spaces tries while they fail: the delay doubles up to a limit and is spread at random. */
export class Backoff {
  private readonly clock: Clock
  private readonly random: Random
  private readonly initialDelay: number
  private readonly maxDelay: number
  private failures = 0
  private retryAt = -Infinity

  /** @param options - the clock, random numbers, and the first and longest delay in ms */
  constructor (options: { clock: Clock, random: Random, initial: number, max: number }) {
    this.clock = options.clock
    this.random = options.random
    this.initialDelay = options.initial
    this.maxDelay = options.max
  }

  /** Whether the next try must wait. */
  get isWaiting (): boolean {
    return this.clock.now() < this.retryAt
  }

  /** @returns ms until the next try */
  recordFailure (): number {
    const delay = this.random.jitter(Math.min(this.maxDelay, this.initialDelay * 2 ** this.failures))
    this.failures++
    this.retryAt = this.clock.now() + delay
    return delay
  }

  /** Ends the series of failures. */
  recordSuccess (): void {
    this.failures = 0
    this.retryAt = -Infinity
  }
}
