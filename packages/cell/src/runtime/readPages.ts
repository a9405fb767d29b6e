import { Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { RangeQuery, ReadFault, RecordStore, Row } from '../types/records.js'

/**
 * Reads rows page by page, so that they are never held together.
 *
 * @param store - the store
 * @param query - the rows to read
 * @param onPage - receives each page
 * @param options - `retry`: called after a page that could not be read; returns whether to try again, by default not
 * @returns version of the store at the first page, after which to follow changes
 */
export async function readPages (store: RecordStore, query: RangeQuery, onPage: (rows: Row[]) => void, { retry = async () => false }: { retry?: () => Promise<boolean> } = {}): Promise<Result<number, ReadFault>> {
  let version: number | undefined
  for (let from = query.from; ;) {
    const page = await store.page({ ...query, ...(from === undefined ? {} : { from }) })
    if (page.isErr()) {
      if (await retry()) continue
      return page
    }
    version ??= page.value.version
    onPage(page.value.rows)
    if (page.value.next === undefined) return Ok(version)
    from = page.value.next
  }
}
