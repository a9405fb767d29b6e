import { EMPTY_ASSIGNMENT, Err, Ok } from '@rattanstep/core'
import type { Assignment, Clock, Result, Row, Table, TableError } from '@rattanstep/core'
import { parseAssignmentText } from '../utils/parseAssignmentText.js'

/**
 * Why the row could not be read or written.
 * - `conflict`: the table holds another version than expected
 * - `unavailable`: the call failed and nothing was written
 * - `unknown`: the write may have taken effect, or may still take effect
 * - `unreadable`: the stored value is not a valid assignment
 */
export type RowFault = 'conflict' | 'unavailable' | 'unknown' | 'unreadable'

/** A fault and its details in one line of text. */
export interface RowError {
  fault: RowFault
  message: string
}

/** Reads and writes the table row that holds the assignment of one cell. */
export class AssignmentRow {
  private readonly table: Table
  private readonly clock: Clock
  private readonly key: string
  /** Time-out of a table call in ms. */
  private readonly timeout: number

  /**
   * @param options - the table, the name of the cell, the clock, and the time-out of a table call in ms
   */
  constructor (options: { table: Table, cell: string, clock: Clock, timeout: number }) {
    this.table = options.table
    this.clock = options.clock
    this.key = `assignment/${options.cell}`
    this.timeout = options.timeout
  }

  /** @returns the assignment that the table holds; the empty assignment when the row does not exist */
  async read (): Promise<Result<Assignment, RowError>> {
    const row = await this.readRow()
    if (row.isErr()) return Err(row.error)
    return parseRow(row.value)
  }

  /**
   * Replaces the previous version by compare-and-set. When the answer is lost, the row is read again to find
   * out whether the write took effect.
   *
   * @param next - the assignment to write
   * @param operation - unique identifier of this write
   * @returns nothing, or the reason why the write failed or its outcome is unknown
   */
  async write (next: Assignment, operation: string): Promise<Result<void, RowError>> {
    const result = await this.withTimeout(this.table.commit({
      operation,
      checks: [{ key: this.key, version: next.version - 1 }],
      writes: [{ key: this.key, value: JSON.stringify(next) }]
    }))
    if (result.isOk()) return Ok(undefined)
    if (result.error.fault === 'unknown') return await this.verifyWrite(next, operation)
    return Err(result.error)
  }

  private async verifyWrite (next: Assignment, operation: string): Promise<Result<void, RowError>> {
    const found = await this.readRow()
    if (found.isErr()) return Err({ fault: 'unknown', message: found.error.message })
    if (found.value?.operation === operation) return Ok(undefined)
    const version = found.value?.version ?? 0
    if (version >= next.version) return Err({ fault: 'conflict', message: `the table already holds version ${version}` })
    return Err({ fault: 'unknown', message: `the table still holds version ${version}` })
  }

  private async readRow (): Promise<Result<Row | undefined, RowError>> {
    const rows = await this.withTimeout(this.table.read([this.key]))
    if (rows.isErr()) return Err({ fault: 'unavailable', message: rows.error.message })
    return Ok(rows.value[0])
  }

  /** Returns the fault `unknown` when the call does not settle within the time-out or throws. */
  private async withTimeout<T> (work: Promise<Result<T, TableError>>): Promise<Result<T, TableError>> {
    return await new Promise(resolve => {
      const fail = (message: string): void => { resolve(Err({ fault: 'unknown', message })) }
      const timer = this.clock.schedule(this.timeout, () => { fail(`no answer within ${this.timeout} ms`) })
      work.then(resolve, (error: unknown) => { fail(String(error)) }).finally(() => { timer.cancel() })
    })
  }
}

/** The version inside the value must equal the row's version: a row restored from a backup could otherwise reuse a version. */
function parseRow (row: Row | undefined): Result<Assignment, RowError> {
  if (row === undefined) return Ok(EMPTY_ASSIGNMENT)
  const parsed = parseAssignmentText(row.value)
  if (parsed.isErr()) return Err({ fault: 'unreadable', message: parsed.error })
  if (parsed.value.version === row.version) return parsed
  return Err({
    fault: 'unreadable',
    message: `version: the row has version ${row.version}, its value says ${parsed.value.version}; they must be equal`
  })
}
