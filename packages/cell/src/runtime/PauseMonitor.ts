import type { Clock, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'

/** Interval at which the monitor notes that the process runs. */
const TICK_MS = 100
/** Time between two ticks above which the process counts as paused: a busy process is late by less. */
const MIN_PAUSE_MS = 500
/** Time after a pause in which the process still reads requests that arrived during it. */
const CATCH_UP_MS = 100

/** Notices that the process was paused, which its requests don't tell: they wait in their connections until the process reads them. */
export class PauseMonitor {
  private timer: Timer | undefined
  private tickedAt: number
  private pause = { from: -Infinity, until: -Infinity }

  constructor (private readonly options: { clock: Clock, log: Log }) {
    this.tickedAt = options.clock.now()
  }

  start (): void {
    this.tickedAt = this.options.clock.now()
    this.timer = this.options.clock.repeat(TICK_MS, () => { this.tick() })
  }

  stop (): void {
    this.timer?.cancel()
  }

  /** @returns monotonic ms from which a request that is read now may have waited */
  earliestArrival (): number {
    this.tick()
    const now = this.options.clock.now()
    return now <= this.pause.until ? this.pause.from : now
  }

  private tick (): void {
    const now = this.options.clock.now()
    const duration = now - this.tickedAt
    if (duration > MIN_PAUSE_MS) {
      this.pause = { from: this.tickedAt, until: now + CATCH_UP_MS }
      this.options.log.write(CELL_EVENTS.paused, { duration: Math.round(duration) })
    }
    this.tickedAt = now
  }
}
