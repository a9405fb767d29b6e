import type { Ledger } from './Ledger.js'
import type { PermitEntry } from './PermitRegistry.js'
import type { RunTimes } from './RunTimes.js'

/** Finds runs that take so long that they count as long work, whatever run time their class declares. */
export class LongRunDetector {
  private entries: PermitEntry[] = []
  private first = 0
  private readonly ledger: Ledger
  private readonly runTimes: RunTimes

  /** @param options - `ledger`: where runs are marked; `runTimes`: where the time that they have run so far is recorded */
  constructor (options: { ledger: Ledger, runTimes: RunTimes }) {
    this.ledger = options.ledger
    this.runTimes = options.runTimes
  }

  /** @param entry - a permit that was just granted; entries must be added in order of their grants */
  watch (entry: PermitEntry): void {
    this.entries.push(entry)
  }

  /**
   * Marks permits whose runs have exceeded the threshold.
   *
   * @param threshold - run time in ms from which a run counts as long
   * @param now - monotonic time in ms
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
