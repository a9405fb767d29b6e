import type { Clock } from '@rattanstep/core'
import { Log } from '@rattanstep/telemetry'
import type { LogEvent, LogFields } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'

/** Lines a second written on average; about six times those of a node that decides at today's peak. */
const RATE = 1500
/** Lines written at once after a quiet time. */
const BURST = 3000

/** Writes lines up to a rate and counts the rest. Warnings and errors use the same budget last. */
export class BoundedLog extends Log {
  private tokens = BURST
  private refilledAt = 0
  private dropped = 0

  constructor (private readonly inner: Log, private readonly clock: Clock) {
    super()
  }

  override write (event: LogEvent, fields?: LogFields): void {
    const now = this.clock.now()
    this.tokens = Math.min(BURST, this.tokens + (now - this.refilledAt) * RATE / 1000)
    this.refilledAt = now
    const needed = event.level === 'info' || event.level === 'debug' ? BURST / 10 : 1
    if (this.tokens < needed) {
      this.dropped++
      return
    }
    this.tokens--
    if (this.dropped > 0) {
      this.inner.write(CELL_EVENTS.dropped, { lines: this.dropped })
      this.dropped = 0
    }
    this.inner.write(event, fields)
  }
}
