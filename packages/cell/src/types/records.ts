import type { Result } from 'ts-results-es'

/** Identifies a row. All rows of a transaction must be in the same part. */
export interface RowName {
  table: string
  part: string
  key: string
}

/** A row as read from the store. */
export interface Row extends RowName {
  value: string
  /** Increases with every change; 0 denotes an absent row. */
  version: number
}

/** A change of a row, as reported by a table's change feed. */
export interface RowChange extends Row {
  deleted: boolean
}

/** Expectations and changes that the store applies atomically: if an expected version doesn't match, nothing is written. */
export interface Transaction {
  expect: Array<RowName & { version: number }>
  puts: Array<RowName & { value: string }>
  deletes?: RowName[]
}

/** What the store accepts at most. */
export interface StoreLimits {
  /** Bytes of a row's value in UTF-8. */
  rowBytes: number
  /** Bytes of all values of a transaction in UTF-8. */
  transactionBytes: number
  /** Number of expectations, puts and deletes of a transaction together. */
  transactionEntries: number
}

/** Limits of a store that doesn't tell its own: 64 KB of base64 for a row, and 1 MB for a transaction with its names. */
export const DEFAULT_STORE_LIMITS: Readonly<StoreLimits> = { rowBytes: 49_152, transactionBytes: 700_000, transactionEntries: 100 }

/** Outcome of a transaction, as far as the client knows it. */
export type TransactionOutcome =
  | { kind: 'done', version: number }
  /** An expected version didn't match; `rows` are the expected rows in their present state. */
  | { kind: 'conflict', rows: Row[] }
  /** Nothing was written. */
  | { kind: 'refused', reason: string }
  /** Nothing was written, and the same transaction will never be accepted: it exceeds a limit of the store. */
  | { kind: 'rejected', reason: string }
  /** Nothing was written, because the store's queue is full. */
  | { kind: 'busy', reason: string }
  /** The transaction may have been carried out, or may still be carried out later. */
  | { kind: 'unknown', reason: string }

/** Reason for which a read failed. */
export interface ReadFault {
  code: 'unavailable' | 'history-lost' | 'unreadable'
  reason: string
}

/** Selects rows of one part by a range of keys. */
export interface RangeQuery {
  table: string
  part: string
  from?: string
  /** Exclusive upper bound of the keys. */
  until?: string
  /** Number of rows wanted in a page, of which the store's client may return fewer; by default, so many that a page of usual rows delays nothing else. */
  rows?: number
}

/** Rows in order of their keys, and the version of the store when they were read. */
export interface RowPage {
  rows: Row[]
  version: number
  /** Key from which the remaining rows are read; absent if there are none. */
  next?: string
}

/** Client of the transactional store, which keeps its rows when processes end. */
export abstract class RecordStore {
  /** What the store accepts at most. */
  get limits (): Readonly<StoreLimits> {
    return DEFAULT_STORE_LIMITS
  }

  abstract commit (transaction: Transaction): Promise<TransactionOutcome>

  /** @returns the rows in order of their keys, read page by page, and the store's version at the first page, after which to follow changes */
  abstract range (query: RangeQuery): Promise<Result<{ rows: Row[], version: number }, ReadFault>>

  /** @returns the first rows of a range; by default all of them are one page */
  async page (query: RangeQuery): Promise<Result<RowPage, ReadFault>> {
    return await this.range(query)
  }

  /**
   * @param query - `after`: version already known; `wait`: maximum time in ms for which the store may hold back its answer until a change
   * @returns the changes in order, and the version to pass as `after` in the next call
   */
  abstract changes (query: { table: string, after: number, wait: number }): Promise<Result<{ rows: RowChange[], version: number }, ReadFault>>

  /** @returns estimated time on the store's monotonic clock in ms, or 0 before the store's first answer */
  abstract now (): number

  /** @returns ms since the store last answered, or `Infinity` before its first answer */
  abstract silentFor (): number

  /** @returns ms for which every call has failed immediately, with a reset or a refusal; 0 if the last call was answered or is only late */
  abstract failingFor (): number
}
