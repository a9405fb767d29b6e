import type { Clock } from '@rattanstep/core'

/** Shortest answer time that can count as slow: half of the time after which an order counts as unanswered. */
const SLOW_ANSWER_MS = 300
/** Ratio of the answer time to the shortest recent one above which answers count as delayed by the orders before them. */
const DELAY_RATIO = 2
/** Weight of an answer in the average by which they are judged: single ones are late wherever processes share a processor. */
const ANSWER_WEIGHT = 0.1
/** Time for which the shortest answer time is remembered at least. */
const MEMORY_MS = 10_000
/** Factors by which the window shrinks after a slow answer and after an order without one. */
const SLOW_FACTOR = 0.7
const SILENCE_FACTOR = 0.5
/** Growth with each answer after the first congestion; before it, the window grows by one. */
const CAREFUL_GROWTH = 0.125

/** Options of a window. */
export interface AnswerWindowOptions {
  clock: Clock
  /** Sizes: at the start, smallest and largest. */
  initial: number
  least: number
  most: number
}

/**
 * Number of orders that may be in flight, which follows their answers: it doubles within an answer time until the first sign of congestion, grows by an
 * eighth in an answer time afterwards, and shrinks if answers become slow or don't come. What counts as slow depends on the shortest recent answer time, so that a
 * way that is long, or a receiver that gets a small part of a processor, isn't taken for congestion.
 */
export class AnswerWindow {
  private current: number
  private hasShrunk = false
  /** Monotonic ms of the last decrease; orders that were sent before it say nothing about the present size. */
  private shrunkAt = -Infinity
  /** Whether orders had to wait because of this window since the last decrease of its size. */
  private isLimiting = false
  /** Moving average of the answer times in ms. */
  private average = 0
  /** Shortest answer times of the present and the former period. */
  private shortest = Infinity
  private formerShortest = Infinity
  private periodAt: number

  constructor (private readonly options: AnswerWindowOptions) {
    this.current = options.initial
    this.periodAt = options.clock.now()
  }

  /** @returns number of orders that may be in flight */
  get size (): number {
    return Math.floor(this.current)
  }

  /** Notes that orders wait because of this window, without which it doesn't grow. */
  noteLimit (): void {
    this.isLimiting = true
  }

  /** Handles the answer to an order; `sentAt`: monotonic ms. */
  noteAnswer (sentAt: number): void {
    const duration = this.options.clock.now() - sentAt
    this.noteDuration(duration)
    if (this.average > this.slowAnswer) return this.shrink(SLOW_FACTOR, sentAt)
    if (!this.isLimiting) return
    this.current = Math.min(this.options.most, this.current + (this.hasShrunk ? CAREFUL_GROWTH : 1))
  }

  /** Handles that an order got no answer in time; `sentAt`: monotonic ms. */
  noteSilence (sentAt: number): void {
    this.shrink(SILENCE_FACTOR, sentAt)
  }

  /** @returns answer time in ms above which answers are slow */
  private get slowAnswer (): number {
    return Math.max(SLOW_ANSWER_MS, DELAY_RATIO * Math.min(this.shortest, this.formerShortest))
  }

  private noteDuration (duration: number): void {
    const now = this.options.clock.now()
    if (now - this.periodAt >= MEMORY_MS) {
      this.formerShortest = this.shortest
      this.shortest = Infinity
      this.periodAt = now
    }
    this.shortest = Math.min(this.shortest, duration)
    this.average += ANSWER_WEIGHT * (duration - this.average)
  }

  private shrink (factor: number, sentAt: number): void {
    if (sentAt < this.shrunkAt) return
    this.current = Math.max(this.options.least, factor * this.current)
    this.hasShrunk = true
    this.isLimiting = false
    this.shrunkAt = this.options.clock.now()
  }
}
