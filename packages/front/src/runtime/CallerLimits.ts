/** The limit that a request would exceed: of all callers of the node, or of one caller. */
export type CallerLimit = 'node' | 'caller'

/** Limits the requests in flight of each caller and of all callers of the node. */
export class CallerLimits {
  private readonly counts = new Map<string, number>()
  private total = 0

  /** Number of requests in flight from all callers. */
  get inFlight (): number {
    return this.total
  }

  /**
   * Counts a new request unless it would exceed a limit.
   *
   * @param caller - name of the caller
   * @param limits - maximum number of requests in flight from all callers, and from one caller
   * @returns the limit that was reached, or `null` when the request was counted
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
   * Removes an ended request from the counts.
   *
   * @param caller - name of the caller whose request ended
   */
  release (caller: string): void {
    const count = this.counts.get(caller) ?? 0
    if (count <= 1) this.counts.delete(caller)
    else this.counts.set(caller, count - 1)
    this.total--
  }
}
