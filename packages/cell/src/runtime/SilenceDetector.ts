import type { Clock } from '@rattanstep/core'
import type { LatencyHistogram } from '@rattanstep/telemetry'
import { LINK_HEARTBEAT_MS, LINK_TIMEOUT_RATIO } from '../types/limits.js'
import { RecentMaximum } from './RecentMaximum.js'

/** Longest part of the time between two checks that counts as silence. In the rest this process didn't run, so that it can't have read any message. */
const MAX_COUNTED_MS = 2 * LINK_HEARTBEAT_MS
/** Ratio of a silence to the longest recent interval between messages up to which the other end is taken for busy. */
const INTERVAL_RATIO = 2
/** Time for which an interval between messages is remembered at least. */
const MEMORY_MS = 10_000
/** Silence that is never taken for busyness. */
const MAX_TOLERANCE_MS = 4000

/**
 * Measures the silence of the other end of a link, without the time for which this process was paused. An end that has been late lately gets more time: it
 * shares its processor with other work. On a link with regular heartbeats only their interval counts.
 */
export class SilenceDetector {
  /** ms without a message. */
  silence = 0
  private checkedAt: number
  private readonly longestInterval: RecentMaximum

  /** @param options - `intervals`: receives the intervals between messages */
  constructor (private readonly options: { clock: Clock, intervals?: LatencyHistogram }) {
    this.checkedAt = options.clock.now()
    this.longestInterval = new RecentMaximum({ clock: options.clock, period: MEMORY_MS })
  }

  noteMessage (): void {
    this.count()
    this.longestInterval.add(this.silence)
    this.options.intervals?.record(this.silence)
    this.silence = 0
  }

  /** Starts anew, on another link or with another interval between heartbeats. */
  restart (): void {
    this.silence = 0
    this.checkedAt = this.options.clock.now()
  }

  /**
   * Must be called at the interval of the most frequent heartbeats, after the messages that have arrived were read.
   *
   * @param interval - ms between heartbeats
   * @returns whether the other end has been silent for too long
   */
  check (interval: number): boolean {
    this.count()
    return this.silence > this.tolerance(interval)
  }

  /** @returns ms of silence from which the other end counts as silent */
  tolerance (interval: number): number {
    return Math.max(LINK_TIMEOUT_RATIO * interval, Math.min(MAX_TOLERANCE_MS, INTERVAL_RATIO * this.longestInterval.value))
  }

  private count (): void {
    const now = this.options.clock.now()
    this.silence += Math.min(MAX_COUNTED_MS, now - this.checkedAt)
    this.checkedAt = now
  }
}
