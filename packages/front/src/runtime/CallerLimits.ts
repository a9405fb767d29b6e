/** Which limit a caller met. */
export type CallerLimit = 'node' | 'caller'

/** Counts the requests in flight of each caller and of all. */
export class CallerLimits {
  private readonly counts = new Map<string, number>()
  private total = 0

  /** Number of requests in flight. */
  get inFlight (): number {
    return this.total
  }

  /**
   * Counts a request in.
   *
   * @param caller - who sent it
   * @param limits - most in flight in all and of one caller
   * @returns the limit that was met, or `null` when the request counts now
   */
  tryAcquire (caller: string, limits: { callers: number, perCaller: number }): CallerLimit | null {
    const count = this.counts.get(caller) ?? 0
    if (count >= limits.perCaller) return 'caller'
    if (this.total >= limits.callers) return 'node'
    this.counts.set(caller, count + 1)
    this.total++
    return null
  }

  /**
   * Counts a request out.
   *
   * @param caller - whose request ended
   */
  release (caller: string): void {
    const count = this.counts.get(caller) ?? 0
    if (count <= 1) this.counts.delete(caller)
    else this.counts.set(caller, count - 1)
    this.total--
  }
}
