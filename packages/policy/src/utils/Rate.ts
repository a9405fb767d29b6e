/** Events a millisecond, with older events fading out exponentially. */
export class Rate {
  private amount = 0
  private updatedAt = 0
  private readonly timeConstant: number

  /** @param timeConstant - time constant in ms */
  constructor (timeConstant: number) {
    this.timeConstant = timeConstant
  }

  /**
   * @param amount - how much happened
   * @param now - ms
   */
  add (amount: number, now: number): void {
    this.decay(now)
    this.amount += amount
  }

  /**
   * @param now - ms
   * @returns amount a millisecond
   */
  perMillisecond (now: number): number {
    this.decay(now)
    return this.amount / this.timeConstant
  }

  /**
   * @param now - ms
   * @returns recent amount
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
