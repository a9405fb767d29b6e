import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { RangeQuery, ReadFault, RecordStore, Row, RowName } from '../types/records.js'
import type { JobRecord } from './jobRecord.js'
import { RECORDS, recordRowName } from './rowNames.js'

/** Table of the pages of records that exceed a row, in the part of the records. */
const PAGES_TABLE = 'record-pages'
/** Separates a job's id from the number of a page. */
const PAGE_SEPARATOR = '~'
/** Digits of the number of a page, so that the keys of a job's pages are in order. */
const PAGE_DIGITS = 3

/** A row to write. */
export type RecordRow = RowName & { value: string }

/** Row of a record whose text is in pages. */
interface RecordHead {
  phase: JobRecord['phase']
  /** Number of pages, all of the version of this row. */
  pages: number
}

/**
 * Distributes a record over rows: the record's own row, and pages if the record exceeds it. They must be written in one transaction.
 *
 * @param id - id of the job
 * @param record - the encoded record
 * @param rowBytes - bytes that a row can hold
 * @returns the rows, that of the record first
 */
export function splitRecord (id: string, record: string, rowBytes: number): RecordRow[] {
  if (Buffer.byteLength(record) <= rowBytes) return [{ ...recordRowName(id), value: record }]
  const text = escapeBeyondAscii(record)
  const pages: RecordRow[] = []
  for (let start = 0; start < text.length; start += rowBytes) pages.push({ ...recordPageName(id, pages.length), value: text.slice(start, start + rowBytes) })
  const head: RecordHead = { phase: (JSON.parse(record) as JobRecord).phase, pages: pages.length }
  return [{ ...recordRowName(id), value: JSON.stringify(head) }, ...pages]
}

/**
 * @param id - id of a job
 * @param index - number of a page of its record
 * @returns name of the page's row
 */
export function recordPageName (id: string, index: number): RowName {
  return { table: PAGES_TABLE, part: RECORDS.part, key: id + PAGE_SEPARATOR + String(index).padStart(PAGE_DIGITS, '0') }
}

/** A record as read from the store. */
export interface StoredRecord {
  record: JobRecord
  /** Characters of the encoded record. */
  length: number
  /** Number of its pages. */
  pages: number
}

/**
 * @param row - row of a record
 * @returns the record, or `undefined` if it is in pages; throws if the row can't be decoded
 */
export function decodeRecordRow ({ value }: Pick<Row, 'value'>): StoredRecord | undefined {
  const decoded = JSON.parse(value) as JobRecord | RecordHead
  return 'pages' in decoded ? undefined : { record: decoded, length: value.length, pages: 0 }
}

/**
 * Decodes a record, with its pages if it has any.
 *
 * @param store - the store
 * @param row - row of the record
 * @returns the record, or why it can't be read: `unavailable` if the store doesn't answer, `unreadable` if rows are missing or not of one transaction
 */
export async function readRecord (store: RecordStore, row: Row): Promise<Result<StoredRecord, ReadFault>> {
  try {
    const stored = decodeRecordRow(row)
    if (stored !== undefined) return Ok(stored)
    const { pages } = JSON.parse(row.value) as RecordHead
    const read = await store.range(pagesOf(row.key))
    if (read.isErr()) return Err({ ...read.error, code: 'unavailable' })
    const { rows } = read.value
    if (rows.length !== pages || rows.some(({ version }) => version !== row.version)) return Err({ code: 'unreadable', reason: `the record has ${rows.length} of ${pages} pages, or pages of another version` })
    const text = rows.map(({ value }) => value).join('')
    return Ok({ record: JSON.parse(text) as JobRecord, length: text.length, pages })
  } catch (error) {
    return Err({ code: 'unreadable', reason: String(error) })
  }
}

function pagesOf (id: string): RangeQuery {
  return { table: PAGES_TABLE, part: RECORDS.part, from: id + PAGE_SEPARATOR, until: id + PAGE_SEPARATOR + PAGE_SEPARATOR }
}

/** A page may end after any character of a text in which each takes one byte. */
function escapeBeyondAscii (json: string): string {
  return json.replace(/[\u0080-\uffff]/g, character => '\\u' + character.charCodeAt(0).toString(16).padStart(4, '0'))
}
