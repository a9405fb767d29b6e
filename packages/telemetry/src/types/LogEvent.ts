/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** A kind of log line. Its number never changes and is never used again. */
export interface LogEvent {
  number: number
  name: string
  level: LogLevel
  /** What happened, in one sentence. */
  message: string
  /** Names of the fields that a line of this kind carries, each with its meaning. */
  fields: Record<string, string>
}
