/** Interval of time without progress within which two bodies count as equally stalled. */
const STALL_STEP_MS = 250

/** Holder of bytes in a budget. */
export interface BodyHolder {
  /** Bytes received so far. */
  received: number
  /** Monotonic ms. */
  readonly startedAt: number
  /** Monotonic ms of the last bytes. */
  progressAt: number
  /** Releases what is held, because the budget is used up. */
  drop: () => void
}

/** Bounds the bytes that all unfinished bodies hold together. */
export class BodyBudget {
  private readonly reservations = new Map<BodyHolder, number>()
  /** Bytes of requests that are being handled, which can't be dropped. */
  private pinned = 0
  private held = 0

  /** @param options - `limit`: bytes; `onDrop`: called for each body that is dropped */
  constructor (private readonly options: { limit: number, now: () => number, onDrop: () => void }) {}

  /** @returns bytes in use */
  get used (): number {
    return this.held + this.pinned
  }

  /**
   * Sets the bytes that a body holds. Others, and at last the body itself, are dropped while the budget is used up, the slowest first.
   *
   * @returns whether the bytes are granted; otherwise the holder was dropped
   */
  reserve (holder: BodyHolder, bytes: number): boolean {
    this.held += bytes - (this.reservations.get(holder) ?? 0)
    this.reservations.set(holder, bytes)
    while (this.used > this.options.limit && this.reservations.size > 0) {
      const slowest = this.findSlowest()
      this.release(slowest)
      this.options.onDrop()
      slowest.drop()
      if (slowest === holder) return false
    }
    return this.reservations.has(holder)
  }

  /** Frees what a body holds. */
  release (holder: BodyHolder): void {
    this.held -= this.reservations.get(holder) ?? 0
    this.reservations.delete(holder)
  }

  /** Keeps bytes of a request that is being handled; returns a function that frees them. */
  pin (bytes: number): () => void {
    this.pinned += bytes
    return () => {
      this.pinned -= bytes
      bytes = 0
    }
  }

  private findSlowest (): BodyHolder {
    const now = this.options.now()
    let slowest: BodyHolder | undefined
    let slowestStall = 0
    let slowestRate = 0
    for (const holder of this.reservations.keys()) {
      const stall = Math.floor((now - holder.progressAt) / STALL_STEP_MS)
      const rate = holder.received / (now - holder.startedAt + STALL_STEP_MS)
      if (slowest !== undefined && (stall < slowestStall || (stall === slowestStall && rate >= slowestRate))) continue
      slowest = holder
      slowestStall = stall
      slowestRate = rate
    }
    return slowest!
  }
}
