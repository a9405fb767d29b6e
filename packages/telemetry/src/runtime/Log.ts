import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'
import type { LogEvent, LogLevel } from '../types/LogEvent.js'

/** Values that a log line may carry. */
export type LogFields = Record<string, unknown>

/** Writes numbered events. */
export abstract class Log {
  /**
   * @param event - kind of the line
   * @param fields - values for the fields that the event names
   */
  abstract write (event: LogEvent, fields?: LogFields): void
}

/** Writes JSON lines through pino. */
export class JsonLog extends Log {
  private readonly logger: Logger

  /**
   * @param options - `node`: name put on each line; `level`: least severity written (default `info`);
   * `destination`: where lines go (default standard output)
   */
  constructor (options: { node?: string, level?: LogLevel, destination?: DestinationStream } = {}) {
    super()
    const settings = { level: options.level ?? 'info', base: { node: options.node ?? '' } }
    this.logger = options.destination === undefined ? pino(settings) : pino(settings, options.destination)
  }

  override write (event: LogEvent, fields: LogFields = {}): void {
    this.logger[event.level]({ event: event.number, name: event.name, ...fields }, event.message)
  }
}

/** Keeps lines in memory, for tests and for embedding. */
export class MemoryLog extends Log {
  readonly lines: Array<{ event: LogEvent, fields: LogFields }> = []

  override write (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, fields })
  }
}

/** Drops every line. */
export class SilentLog extends Log {
  override write (): void {}
}
