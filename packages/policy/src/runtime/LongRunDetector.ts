import type { Ledger } from './Ledger.js'
import type { PermitEntry } from './PermitRegistry.js'
import type { RunTimes } from './RunTimes.js'

/** Finds runs that take so long that they count as long work, whatever their class promised. */
export class LongRunDetector {
  private entries: PermitEntry[] = []
  private first = 0
  private readonly ledger: Ledger
  private readonly runTimes: RunTimes

  /** @param options - the ledger that marks runs, and the run times that learn from them */
  constructor (options: { ledger: Ledger, runTimes: RunTimes }) {
    this.ledger = options.ledger
    this.runTimes = options.runTimes
  }

  /** @param entry - a permit granted now */
  watch (entry: PermitEntry): void {
    this.entries.push(entry)
  }

  /**
   * Marks what has run for too long.
   *
   * @param threshold - ms of running that make a run long
   * @param now - ms
   */
  markLongRuns (threshold: number, now: number): void {
    while (this.first < this.entries.length) {
      const entry = this.entries[this.first]!
      if (!entry.released && now - entry.grantedAt < threshold) break
      this.first++
      if (entry.released) continue
      this.ledger.markLong(entry)
      this.runTimes.observeRunning(entry.class, now - entry.grantedAt)
    }
    if (2 * this.first < this.entries.length) return
    this.entries = this.entries.slice(this.first)
    this.first = 0
  }
}
