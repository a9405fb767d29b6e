import { Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { RangeQuery, ReadFault, RecordStore, Row } from '../types/records.js'

/** Bytes of a row in a page besides its value. */
const ROW_OVERHEAD_BYTES = 80
/** Numbers of rows in the first page, and at most. */
const FIRST_PAGE_ROWS = 50
const MAX_PAGE_ROWS = 500

/** Options of a read in pages. */
export interface ReadPagesOptions {
  /** Called after a page that could not be read; returns whether to try again, by default not. */
  retry?: () => Promise<boolean>
  /** Bytes that a page should have, by the sizes of the rows in the page before; by default, all pages have as many rows as the first one. */
  pageBytes?: number
}

/**
 * Reads rows page by page, so that they are never held together.
 *
 * @param store - the store
 * @param query - the rows to read
 * @param onPage - receives each page
 * @param options - retries and size of the pages
 * @returns version of the store at the first page, after which to follow changes
 */
export async function readPages (store: RecordStore, query: RangeQuery, onPage: (rows: Row[]) => void, { retry = async () => false, pageBytes }: ReadPagesOptions = {}): Promise<Result<number, ReadFault>> {
  let version: number | undefined
  let rows = FIRST_PAGE_ROWS
  for (let from = query.from; ;) {
    const page = await store.page({ ...query, rows, ...(from === undefined ? {} : { from }) })
    if (page.isErr()) {
      // A large page may have been too large for the link.
      rows = FIRST_PAGE_ROWS
      if (await retry()) continue
      return page
    }
    version ??= page.value.version
    onPage(page.value.rows)
    if (page.value.next === undefined) return Ok(version)
    from = page.value.next
    if (pageBytes !== undefined) rows = countRows(page.value.rows, pageBytes)
  }
}

/** @returns number of rows like the given ones that make up a page */
function countRows (rows: Row[], pageBytes: number): number {
  const bytes = rows.reduce((sum, { value }) => sum + ROW_OVERHEAD_BYTES + value.length, 0)
  return Math.max(FIRST_PAGE_ROWS, Math.min(MAX_PAGE_ROWS, Math.floor(pageBytes * rows.length / Math.max(1, bytes))))
}
