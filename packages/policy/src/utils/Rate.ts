/** Rate of events, averaged with exponential decay. */
export class Rate {
  private amount = 0
  private updatedAt = 0
  private readonly timeConstant: number

  /** @param timeConstant - time constant in ms */
  constructor (timeConstant: number) {
    this.timeConstant = timeConstant
  }

  /**
   * Records events.
   *
   * @param amount - number of events
   * @param now - monotonic time in ms
   */
  add (amount: number, now: number): void {
    this.decay(now)
    this.amount += amount
  }

  /**
   * @param now - monotonic time in ms
   * @returns number of events per millisecond
   */
  perMillisecond (now: number): number {
    this.decay(now)
    return this.amount / this.timeConstant
  }

  /**
   * @param now - monotonic time in ms
   * @returns decayed number of events
   */
  recentAmount (now: number): number {
    this.decay(now)
    return this.amount
  }

  private decay (now: number): void {
    if (now <= this.updatedAt) return
    this.amount *= Math.exp((this.updatedAt - now) / this.timeConstant)
    this.updatedAt = now
  }
}
