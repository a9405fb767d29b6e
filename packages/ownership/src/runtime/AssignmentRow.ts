import { EMPTY_ASSIGNMENT, Err, Ok } from '@rattanstep/core'
import type { Assignment, Clock, Result, Row, Table, TableError } from '@rattanstep/core'
import { parseAssignmentText } from '../utils/parseAssignmentText.js'

/**
 * Why the row could not be read or written.
 * - `conflict`: another version is there
 * - `unavailable`: nothing was written
 * - `unknown`: the write may have taken effect, or may yet
 * - `unreadable`: the row cannot be understood
 */
export type RowFault = 'conflict' | 'unavailable' | 'unknown' | 'unreadable'

/** A fault with what is known about it. */
export interface RowError {
  fault: RowFault
  message: string
}

/** The assignment row of one cell. */
export class AssignmentRow {
  private readonly table: Table
  private readonly clock: Clock
  private readonly key: string
  private readonly timeout: number

  /**
   * @param options - the table, the name of the cell, the clock, and how long an answer is waited for in ms
   */
  constructor (options: { table: Table, cell: string, clock: Clock, timeout: number }) {
    this.table = options.table
    this.clock = options.clock
    this.key = `assignment/${options.cell}`
    this.timeout = options.timeout
  }

  /** @returns the assignment that the table holds now */
  async read (): Promise<Result<Assignment, RowError>> {
    const row = await this.readRow()
    if (row.isErr()) return Err(row.error)
    return parseRow(row.value)
  }

  /**
   * Replaces the version before. A lost answer is read back.
   *
   * @param next - the assignment to write
   * @param operation - unique identifier of this write
   * @returns nothing, or why it is not known to have been written
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
    if (version >= next.version) return Err({ fault: 'conflict', message: `version ${version} is there` })
    return Err({ fault: 'unknown', message: `version ${version} is still there` })
  }

  private async readRow (): Promise<Result<Row | undefined, RowError>> {
    const rows = await this.withTimeout(this.table.read([this.key]))
    if (rows.isErr()) return Err({ fault: 'unavailable', message: rows.error.message })
    return Ok(rows.value[0])
  }

  /** An answer that does not come in time counts as lost. */
  private async withTimeout<T> (work: Promise<Result<T, TableError>>): Promise<Result<T, TableError>> {
    return await new Promise(resolve => {
      const fail = (message: string): void => { resolve(Err({ fault: 'unknown', message })) }
      const timer = this.clock.schedule(this.timeout, () => { fail(`no answer within ${this.timeout} ms`) })
      work.then(resolve, (error: unknown) => { fail(String(error)) }).finally(() => { timer.cancel() })
    })
  }
}

/** The version inside must be the row's own, or a row put back from a copy could repeat a version. */
function parseRow (row: Row | undefined): Result<Assignment, RowError> {
  if (row === undefined) return Ok(EMPTY_ASSIGNMENT)
  const parsed = parseAssignmentText(row.value)
  if (parsed.isErr()) return Err({ fault: 'unreadable', message: parsed.error })
  if (parsed.value.version === row.version) return parsed
  return Err({
    fault: 'unreadable',
    message: `version: the row has version ${row.version}, its value says ${parsed.value.version}; they must be the same`
  })
}
