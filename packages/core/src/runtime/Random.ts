import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Source of random numbers. */
export abstract class Random {
  /** @returns a number from 0 (inclusive) to 1 (exclusive) */
  abstract next (): number

  /**
   * @param bound - exclusive upper bound
   * @returns an integer from 0 to `bound - 1`
   */
  integer (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  /**
   * @param items - at least one item
   * @returns one of the items
   */
  pick<T> (items: readonly T[]): T {
    return items[this.integer(items.length)]!
  }

  /**
   * Draws an exponentially distributed number.
   *
   * @param mean - mean of the distribution
   * @returns a number of at least 0
   */
  exponential (mean: number): number {
    return -Math.log(1 - this.next()) * mean
  }

  /**
   * Draws a delay from a uniform distribution between 0.5 and 1.5 times the given delay.
   *
   * @param delay - mean delay in ms
   * @returns the delay with jitter in ms
   */
  jitter (delay: number): number {
    return delay * (0.5 + this.next())
  }
}

/** Deterministic random numbers: the same seed gives the same sequence. */
export class SeededRandom extends Random {
  private readonly generator: RandomGenerator

  /** @param seed - any integer */
  constructor (seed: number) {
    super()
    this.generator = xoroshiro128plus(seed)
  }

  override next (): number {
    // 27 and 26 random bits make an integer below 2 ** 53, the largest range that a number represents exactly.
    const high = this.generator.next() >>> 5
    const low = this.generator.next() >>> 6
    return (high * 67_108_864 + low) / 9_007_199_254_740_992
  }
}

/** Random numbers of the JavaScript runtime. */
export class SystemRandom extends Random {
  override next (): number {
    return Math.random()
  }
}
