import type { Random } from '@rattanstep/core'

/** Exponential backoff with random jitter. */
export class Backoff {
  private attempts = 0
  private readonly firstDelay: number
  private readonly maxDelay: number
  private readonly random: Random

  /** @param options - `firstDelay` and `maxDelay`: shortest and longest mean delay in ms; `random`: source of the jitter */
  constructor (options: { firstDelay?: number, maxDelay?: number, random: Random }) {
    this.firstDelay = options.firstDelay ?? 50
    this.maxDelay = options.maxDelay ?? 10_000
    this.random = options.random
  }

  /** @returns ms to wait before the next attempt */
  next (): number {
    const mean = Math.min(this.maxDelay, this.firstDelay * 2 ** this.attempts)
    this.attempts++
    return this.random.jitter(mean)
  }

  /** Returns to the first delay after a success. */
  reset (): void {
    this.attempts = 0
  }
}
