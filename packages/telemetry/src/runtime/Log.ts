import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'
import type { LogEvent, LogLevel } from '../types/LogEvent.js'

/** Values of the fields of a log line. */
export type LogFields = Record<string, unknown>

/** Destination of numbered log events. */
export abstract class Log {
  /**
   * Writes one log line.
   *
   * @param event - kind of the line
   * @param fields - values of the fields that the event declares
   */
  abstract write (event: LogEvent, fields?: LogFields): void
}

/** Writes JSON lines through pino. */
export class JsonLog extends Log {
  private readonly logger: Logger

  /**
   * @param options - `node`: node name added to each line; `level`: lowest level written (default `info`);
   * `destination`: stream to write to (default standard output)
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

/** Keeps log lines in memory, for tests and for embedding. */
export class MemoryLog extends Log {
  readonly lines: Array<{ event: LogEvent, fields: LogFields }> = []

  override write (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, fields })
  }
}

/** Discards every log line. */
export class SilentLog extends Log {
  override write (): void {}
}
