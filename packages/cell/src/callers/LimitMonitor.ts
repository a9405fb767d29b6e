import type { Clock, Timer } from '@rattanstep/core'
import type { Counter, Log, Metrics } from '@rattanstep/telemetry'
import type { ClientLimits } from './limits.js'
import { CELL_EVENTS } from '../types/events.js'

/** Interval of the log lines of a limit that is reached again and again. */
const REPORT_INTERVAL_MS = 5000

/** Names of the limits, as in the settings. */
export type LimitName = keyof ClientLimits

/** Counts how often each limit is reached, and writes one line for each limit and interval. */
export class LimitMonitor {
  private readonly counters = new Map<LimitName, Counter>()
  private readonly unreported = new Map<LimitName, { count: number, timer: Timer }>()

  constructor (private readonly options: { clock: Clock, log: Log, metrics: Metrics }) {}

  /** Registers the counters of limits, so that each is shown before it is first reached. */
  register (names: readonly LimitName[]): void {
    for (const name of names) this.counterOf(name)
  }

  /** Notes that a limit was reached. The first time is logged at once, later ones together. */
  reach (limit: LimitName): void {
    this.counterOf(limit).add()
    const present = this.unreported.get(limit)
    if (present !== undefined) {
      present.count++
      return
    }
    this.options.log.write(CELL_EVENTS.limitReached, { limit, count: 1 })
    this.unreported.set(limit, { count: 0, timer: this.options.clock.schedule(REPORT_INTERVAL_MS, () => { this.report(limit) }) })
  }

  /** Cancels the reports that are due later. */
  stop (): void {
    for (const { timer } of this.unreported.values()) timer.cancel()
    this.unreported.clear()
  }

  private report (limit: LimitName): void {
    const present = this.unreported.get(limit)
    if (present === undefined) return
    if (present.count === 0) {
      this.unreported.delete(limit)
      return
    }
    this.options.log.write(CELL_EVENTS.limitReached, { limit, count: present.count })
    present.count = 0
    present.timer = this.options.clock.schedule(REPORT_INTERVAL_MS, () => { this.report(limit) })
  }

  private counterOf (limit: LimitName): Counter {
    let counter = this.counters.get(limit)
    if (counter === undefined) this.counters.set(limit, counter = this.options.metrics.counter('limit_reached', { limit }))
    return counter
  }
}
