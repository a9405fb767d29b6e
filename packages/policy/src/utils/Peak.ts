/** Largest value of the recent past. */
export class Peak {
  private current = 0
  private previous = 0
  private startedAt = 0
  private readonly memory: number

  /** @param memory - ms for which a value is remembered at least; it is forgotten after twice as long */
  constructor (memory: number) {
    this.memory = memory
  }

  /** @returns the largest value */
  get value (): number {
    return Math.max(this.current, this.previous)
  }

  /**
   * @param value - a new value
   * @param now - ms
   */
  add (value: number, now: number): void {
    if (now - this.startedAt >= this.memory) {
      this.previous = this.current
      this.current = 0
      this.startedAt = now
    }
    this.current = Math.max(this.current, value)
  }
}
