/** Level of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** A kind of log line. Its number never changes and is never reused. */
export interface LogEvent {
  number: number
  name: string
  level: LogLevel
  /** What happened, in one sentence. */
  message: string
  /** Fields of a line of this kind: name and meaning. */
  fields: Record<string, string>
}
