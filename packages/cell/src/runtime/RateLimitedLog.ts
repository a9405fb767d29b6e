import type { Clock } from '@rattanstep/core'
import { Log } from '@rattanstep/telemetry'
import type { LogEvent, LogFields } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'

/** Average rate of lines; about six times the rate of a decider at peak load. */
const MAX_LINES_PER_SECOND = 1500
/** Maximum number of lines written in a burst after a quiet time. */
const BURST_LINES = 3000

/** Longest text of a field; longer than what the process itself writes in any line. */
const MAX_FIELD_CHARS = 2000

/** Limits the rate of log lines and counts the dropped ones. The last tenth of the budget is reserved for warnings and errors. */
export class RateLimitedLog extends Log {
  private tokens = BURST_LINES
  private refilledAt = 0
  private dropped = 0

  constructor (private readonly inner: Log, private readonly clock: Clock) {
    super()
  }

  override write (event: LogEvent, fields?: LogFields): void {
    const now = this.clock.now()
    this.tokens = Math.min(BURST_LINES, this.tokens + (now - this.refilledAt) * MAX_LINES_PER_SECOND / 1000)
    this.refilledAt = now
    const needed = event.level === 'info' || event.level === 'debug' ? BURST_LINES / 10 : 1
    if (this.tokens < needed) {
      this.dropped++
      return
    }
    this.tokens--
    if (this.dropped > 0) {
      this.inner.write(CELL_EVENTS.linesDropped, { lines: this.dropped })
      this.dropped = 0
    }
    this.inner.write(event, fields === undefined ? undefined : shortenFields(fields))
  }
}

/** @returns the fields, with texts cut off above the maximum length: headers of callers may be much longer */
function shortenFields (fields: LogFields): LogFields {
  let shortened = fields
  for (const [name, value] of Object.entries(fields)) {
    if (typeof value === 'string' && value.length > MAX_FIELD_CHARS) shortened = { ...shortened, [name]: value.slice(0, MAX_FIELD_CHARS) }
  }
  return shortened
}
