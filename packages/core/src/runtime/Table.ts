import type { Result } from '../types/result.js'

/**
 * The platform's transactional table, as this project needs it.
 */

/** One row. Versions start at 1 and grow by one with each write. */
export interface Row {
  key: string
  version: number
  /** JSON text. */
  value: string
  /** Identifier of the transaction that wrote this version. */
  operation: string
}

/** A condition on a row. Version 0 means that the row must not exist. */
export interface Check {
  key: string
  version: number
}

/** A new value for a row; `null` deletes it. */
export interface Write {
  key: string
  value: string | null
}

/** Checks and writes that take effect together or not at all. */
export interface Transaction {
  /** Unique identifier, kept in the rows written, by which a lost answer is recognised. */
  operation: string
  checks: Check[]
  writes: Write[]
}

/**
 * Why the table did not answer as asked.
 * - `conflict`: a check failed; nothing was written
 * - `unavailable`: nothing was written
 * - `unknown`: the answer was lost; the write may have taken effect, or may yet
 */
export type TableFault = 'conflict' | 'unavailable' | 'unknown'

/** A fault with what is known about it. */
export interface TableError {
  fault: TableFault
  message: string
}

/** Which rows to list. */
export interface Range {
  prefix: string
  /** Keys after this one only. */
  after?: string
  /** At most this many rows. */
  limit?: number
}

/** The platform's table service. */
export abstract class Table {
  /**
   * @param keys - rows to read together
   * @returns the rows that exist
   */
  abstract read (keys: string[]): Promise<Result<Row[], TableError>>

  /**
   * @param range - rows to list
   * @returns rows in order of their keys
   */
  abstract list (range: Range): Promise<Result<Row[], TableError>>

  /**
   * @param transaction - what to check and write
   * @returns the rows written (deleted rows have an empty value), or why not
   */
  abstract commit (transaction: Transaction): Promise<Result<Row[], TableError>>
}
