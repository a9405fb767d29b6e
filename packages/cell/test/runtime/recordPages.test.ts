import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { DEFAULT_STORE_LIMITS } from '../../src/index.js'
import { RecordPages } from '../../src/runtime/RecordPages.js'
import { readRecord, recordPageName } from '../../src/runtime/recordRows.js'
import { recordRowName } from '../../src/runtime/rowNames.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

const LIMITS = { ...DEFAULT_STORE_LIMITS, rowBytes: 100 }

function putOf (checkpoint: string): { kind: 'put', value: string } {
  return { kind: 'put', value: JSON.stringify({ phase: 'open', tasks: [[[[1, '', 0, 0, checkpoint]]]] }) }
}

/** Writes a record to new tables and reads it. */
async function writeAndRead (checkpoint: string, change: (tables: FakeTables) => void = () => {}): Promise<{ pages: number, checkpoint: unknown } | string> {
  const clock = new FakeClock({ start: 1000 })
  const tables = new FakeTables()
  const { puts } = new RecordPages().rowsOf('a', putOf(checkpoint), LIMITS)
  tables.write({ expect: [], puts })
  change(tables)
  let read: Awaited<ReturnType<typeof readRecord>> | undefined
  readRecord(new FakeStore(tables, new NodeClock(clock), clock), tables.rows.get('tasks/d/a')!).then(result => { read = result }, error => { throw error })
  await clock.advance(100)
  if (read === undefined) return 'not read'
  return read.isErr() ? read.error.code : { pages: read.value.pages, checkpoint: (read.value.record.tasks![0]![0]![0] as unknown[])[4] }
}

describe('the pages of a record', () => {
  test('hold it whole, whatever characters it has', async () => {
    const text = 'ж😀"\\'.repeat(40)
    expect(await writeAndRead(text)).toEqual({ pages: 10, checkpoint: text })
    expect(await writeAndRead('x')).toEqual({ pages: 0, checkpoint: 'x' })
  })

  // Guards against a record that is put together from rows of different transactions.
  test('are not read beside a row of another version, or without one of them', async () => {
    const text = 'x'.repeat(300)
    expect(await writeAndRead(text, tables => { tables.put(recordPageName('a', 1), 'y') })).toEqual('unreadable')
    expect(await writeAndRead(text, tables => { tables.drop(recordPageName('a', 3)) })).toEqual('unreadable')
  })

  // Guards against pages that stay in the store for good once their record fits into its row, or its job is archived.
  test('are deleted by the next shorter record, also those that were read or whose transaction got no answer', () => {
    const pages = new RecordPages()
    pages.note('a', 3)
    const long = pages.rowsOf('a', putOf('x'.repeat(100)), LIMITS)
    expect([long.puts.length, long.deletes]).toEqual([3, [recordPageName('a', 2)]])
    const short = pages.rowsOf('a', putOf('x'), LIMITS)
    expect([short.puts.length, short.deletes]).toEqual([1, [0, 1, 2].map(index => recordPageName('a', index))])
    pages.confirm('a')
    expect(pages.rowsOf('a', putOf('x'), LIMITS).deletes).toEqual([])
    expect(pages.rowsOf('a', { kind: 'delete' }, LIMITS).deletes).toEqual([recordRowName('a')])
  })
})
