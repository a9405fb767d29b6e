/** Largest value of the recent past. */
export class Peak {
  private current = 0
  private previous = 0
  private windowStart = 0
  private readonly window: number

  /** @param window - ms for which a value is remembered at least; it is forgotten after twice as long */
  constructor (window: number) {
    this.window = window
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
    if (now - this.windowStart >= this.window) {
      this.previous = this.current
      this.current = 0
      this.windowStart = now
    }
    this.current = Math.max(this.current, value)
  }
}
