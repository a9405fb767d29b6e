/** Largest value within a recent time window. */
export class Peak {
  private current = 0
  private previous = 0
  private windowStart = 0
  private readonly window: number

  /** @param window - time in ms for which a value counts at least; it counts for at most twice that time */
  constructor (window: number) {
    this.window = window
  }

  /** @returns the largest value in the window */
  get value (): number {
    return Math.max(this.current, this.previous)
  }

  /**
   * @param value - a new value
   * @param now - monotonic time in ms
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
