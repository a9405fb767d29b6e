import type { Result } from '../types/result.js'

/** One row. Versions start at 1 and increase by one with each write. */
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

/** Checks and writes that take effect atomically. */
export interface Transaction {
  /** Unique identifier that is stored in the written rows, so that the effect can be recognised when the answer is lost. */
  operation: string
  checks: Check[]
  writes: Write[]
}

/**
 * Kind of failure of a table request.
 * - `conflict`: a check failed; nothing was written
 * - `unavailable`: the table could not be used; nothing was written
 * - `unknown`: the answer was lost; the write may have taken effect, or may still take effect later
 */
export type TableFault = 'conflict' | 'unavailable' | 'unknown'

/** Failure of a table request. */
export interface TableError {
  fault: TableFault
  message: string
}

/** Selects the rows to list. */
export interface Range {
  prefix: string
  /** Lists only keys after this one. */
  after?: string
  /** Maximum number of rows. */
  limit?: number
}

/** The platform's transactional table service. */
export abstract class Table {
  /**
   * Reads rows.
   *
   * @param keys - keys of the rows
   * @returns the rows that exist
   */
  abstract read (keys: string[]): Promise<Result<Row[], TableError>>

  /**
   * Lists rows.
   *
   * @param range - rows to list
   * @returns rows in order of their keys
   */
  abstract list (range: Range): Promise<Result<Row[], TableError>>

  /**
   * Applies a transaction.
   *
   * @param transaction - what to check and write
   * @returns the written rows, in which deleted ones have an empty value, or the error
   */
  abstract commit (transaction: Transaction): Promise<Result<Row[], TableError>>
}
