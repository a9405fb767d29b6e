import type { Clock, Random } from '@rattanstep/core'

/** Spaces tries while they fail: the delay doubles up to a limit and is spread at random. */
export class Backoff {
  private readonly clock: Clock
  private readonly random: Random
  private readonly first: number
  private readonly longest: number
  private failures = 0
  private until = -Infinity

  /** @param options - the clock, random numbers, and the first and longest delay in ms */
  constructor (options: { clock: Clock, random: Random, first: number, longest: number }) {
    this.clock = options.clock
    this.random = options.random
    this.first = options.first
    this.longest = options.longest
  }

  /** Whether the next try must wait. */
  get isWaiting (): boolean {
    return this.clock.now() < this.until
  }

  /** @returns ms until the next try */
  fail (): number {
    const delay = this.random.jitter(Math.min(this.longest, this.first * 2 ** this.failures))
    this.failures++
    this.until = this.clock.now() + delay
    return delay
  }

  /** Ends the series of failures. */
  succeed (): void {
    this.failures = 0
    this.until = -Infinity
  }
}
