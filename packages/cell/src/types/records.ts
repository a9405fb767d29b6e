import type { Result } from 'ts-results-es'

/** Where a row lies. All rows of one transaction share the part. */
export interface RowName {
  table: string
  part: string
  key: string
}

/** A row as read. */
export interface Row extends RowName {
  value: string
  /** Grows with every change; 0 stands for an absent row. */
  version: number
}

/** A change seen on a table's feed. */
export interface RowChange extends Row {
  deleted: boolean
}

/** All or nothing. */
export interface Transaction {
  expect: Array<RowName & { version: number }>
  puts: Array<RowName & { value: string }>
  deletes?: RowName[]
}

/** What is known of a transaction afterwards. */
export type TransactionOutcome =
  | { kind: 'done', version: number }
  /** A row has another version; the rows that were expected, as they are now. */
  | { kind: 'conflict', rows: Row[] }
  /** Nothing was done. */
  | { kind: 'refused', reason: string }
  /** Nothing was done, since more is waiting than the store takes. */
  | { kind: 'busy', reason: string }
  /** It may have been done, or may still be. */
  | { kind: 'unknown', reason: string }

/** Why a read gave nothing. */
export interface ReadFault {
  code: 'unavailable' | 'history-lost' | 'unreadable'
  reason: string
}

/** Rows of one part, in order of their keys. */
export interface RangeQuery {
  table: string
  part: string
  from?: string
  /** First key that is left out. */
  until?: string
}

/** The transactional store that outlives every process. */
export abstract class RecordStore {
  abstract commit (transaction: Transaction): Promise<TransactionOutcome>

  /** @returns rows in order of their keys, read in pages, and the store's version at the first page, from which changes are to be followed */
  abstract range (query: RangeQuery): Promise<Result<{ rows: Row[], version: number }, ReadFault>>

  /**
   * @param query - `after`: version already known; `wait`: ms that the answer may wait for a change
   * @returns changes in order and the version to go on from
   */
  abstract changes (query: { table: string, after: number, wait: number }): Promise<Result<{ rows: RowChange[], version: number }, ReadFault>>

  /** @returns estimate of the store's monotonic clock in ms; 0 before its first answer */
  abstract now (): number

  /** @returns ms since the store last answered, Infinity before the first answer */
  abstract silentFor (): number

  /** @returns ms for which every call has failed at once, with a reset or a refusal; 0 when the last was answered, or is only late */
  abstract failingFor (): number
}
