/** Events a millisecond, with older events fading out exponentially. */
export class Rate {
  private amount = 0
  private at = 0
  private readonly memory: number

  /** @param memory - time constant in ms */
  constructor (memory: number) {
    this.memory = memory
  }

  /**
   * @param amount - how much happened
   * @param now - ms
   */
  add (amount: number, now: number): void {
    this.fade(now)
    this.amount += amount
  }

  /**
   * @param now - ms
   * @returns amount a millisecond
   */
  perMillisecond (now: number): number {
    this.fade(now)
    return this.amount / this.memory
  }

  /**
   * @param now - ms
   * @returns recent amount
   */
  recent (now: number): number {
    this.fade(now)
    return this.amount
  }

  private fade (now: number): void {
    if (now <= this.at) return
    this.amount *= Math.exp((this.at - now) / this.memory)
    this.at = now
  }
}
