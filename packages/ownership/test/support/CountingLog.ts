import { MemoryLog } from '@rattanstep/telemetry'
import type { LogEvent, LogFields } from '@rattanstep/telemetry'

/** Kinds of change, by the words that their texts begin with. */
const CHANGE_KINDS = ['removed', 'claimed', 'handed over', 'named next voters', 'dropped the old voters', 'reset voters', 'voided votes']

/** Counts the changes of the assignment; keeps the log lines only if `keepsLines` is set. */
export class CountingLog extends MemoryLog {
  readonly changes: Record<string, number> = {}

  constructor (private readonly keepsLines: boolean) {
    super()
  }

  override write (event: LogEvent, fields: LogFields = {}): void {
    if (this.keepsLines) super.write(event, fields)
    for (const change of (fields.changes ?? []) as string[]) this.count(event.name, change)
  }

  private count (name: string, change: string): void {
    const kind = CHANGE_KINDS.find(known => change.startsWith(known))
    if (name !== 'assignment-written' || kind === undefined) return
    this.changes[kind] = (this.changes[kind] ?? 0) + 1
  }
}
