import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { RangeQuery, ReadFault, RowPage } from '../../src/index.js'
import { readPages } from '../../src/runtime/readPages.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

const PAGE_BYTES = 40_000

/** A store that returns as many rows in a page as are wanted. */
class PagedStore extends FakeStore {
  /** Numbers of rows that were wanted. */
  readonly wanted: number[] = []
  /** Number of the page that can't be read once, from 1. */
  failingPage = 0
  private readonly pagedTables: FakeTables

  constructor (sizes: number[]) {
    const tables = new FakeTables()
    const clock = new FakeClock()
    super(tables, new NodeClock(clock), clock)
    this.pagedTables = tables
    for (const [index, size] of sizes.entries()) tables.put({ table: 't', part: 'p', key: String(index).padStart(5, '0') }, 'v'.repeat(size))
  }

  override async page ({ from = '', rows: wanted = 50 }: RangeQuery): Promise<Result<RowPage, ReadFault>> {
    this.wanted.push(wanted)
    if (this.wanted.length === this.failingPage) return Err({ code: 'unavailable', reason: 'the call timed out' })
    const rows = [...this.pagedTables.rows.values()].filter(({ key }) => key >= from)
    const next = rows[wanted]?.key
    return Ok({ rows: rows.slice(0, wanted), version: 1, ...(next === undefined ? {} : { next }) })
  }
}

describe('a read in pages', () => {
  // Guards against a recovery that takes a call for each 50 of thousands of small records.
  test('takes few calls for small rows', async () => {
    const store = new PagedStore(Array.from({ length: 3000 }, () => 60))
    let read = 0
    await readPages(store, { table: 't', part: 'p' }, rows => { read += rows.length }, { pageBytes: PAGE_BYTES })
    expect(read).toEqual(3000)
    expect(store.wanted.length).toBeLessThan(15)
  })

  test('takes no more of large rows than of usual ones', async () => {
    const store = new PagedStore(Array.from({ length: 300 }, () => 2000))
    await readPages(store, { table: 't', part: 'p' }, () => {}, { pageBytes: PAGE_BYTES })
    expect(Math.max(...store.wanted)).toEqual(50)
  })

  // Guards against a page that is too large for a slow link and is asked for again and again.
  test('asks for a small page after one that could not be read', async () => {
    const store = new PagedStore(Array.from({ length: 600 }, () => 10))
    store.failingPage = 2
    let read = 0
    await readPages(store, { table: 't', part: 'p' }, rows => { read += rows.length }, { pageBytes: PAGE_BYTES, retry: async () => true })
    expect(read).toEqual(600)
    expect(store.wanted.slice(0, 3)).toEqual([50, 444, 50])
  })
})
