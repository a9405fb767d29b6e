import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import type { Table, TableFault, Transaction } from '@rattanstep/core'
import { HttpTable } from '@rattanstep/platform'
import { MemoryTable, PlatformServer } from '../../src/index.js'
import type { Faults } from '../../src/index.js'

interface Subject {
  table: Table
  faults: Faults
  close: () => Promise<void>
}

const clock = new FakeClock()

const LOCAL = { host: '127.0.0.1', port: 0 }

const SUBJECTS: Record<string, () => Promise<Subject>> = {
  MemoryTable: async () => {
    const table = new MemoryTable({ clock })
    return { table, faults: table.faults, close: async () => {} }
  },
  HttpTable: async () => {
    const server = new PlatformServer({ clock })
    const table = new HttpTable({ address: await server.listen(LOCAL) })
    const close = async (): Promise<void> => {
      await table.close()
      await server.close()
    }
    return { table, faults: server.table.faults, close }
  }
}

function createPut (operation: string, key: string, version: number, value: string | null): Transaction {
  return { operation, checks: [{ key, version }], writes: [{ key, value }] }
}

interface Case {
  title: string
  steps: Transaction[]
  /** Expected fault of each step; `null` for success. */
  faults: Array<TableFault | null>
  /** Key, version and operation of every row at the end. */
  rows: Array<[string, number, string]>
}

const CASES: Case[] = [
  { title: 'a row is created only once', steps: [createPut('o1', 'a', 0, '1'), createPut('o2', 'a', 0, '2')], faults: [null, 'conflict'], rows: [['a', 1, 'o1']] },
  { title: 'a row is changed when its version matches', steps: [createPut('o1', 'a', 0, '1'), createPut('o2', 'a', 1, '2')], faults: [null, null], rows: [['a', 2, 'o2']] },
  { title: 'a stale change conflicts', steps: [createPut('o1', 'a', 0, '1'), createPut('o2', 'a', 1, '2'), createPut('o3', 'a', 1, '3')], faults: [null, null, 'conflict'], rows: [['a', 2, 'o2']] },
  { title: 'a repeat of a transaction conflicts', steps: [createPut('o1', 'a', 0, '1'), createPut('o1', 'a', 0, '1')], faults: [null, 'conflict'], rows: [['a', 1, 'o1']] },
  { title: 'a deleted row is gone', steps: [createPut('o1', 'a', 0, '1'), createPut('o2', 'a', 1, null), createPut('o3', 'a', 0, '3')], faults: [null, null, null], rows: [['a', 1, 'o3']] },
  {
    title: 'a failed check leaves every row unchanged',
    steps: [
      createPut('o1', 'a', 0, '1'),
      { operation: 'o2', checks: [{ key: 'a', version: 1 }, { key: 'b', version: 4 }], writes: [{ key: 'a', value: '2' }, { key: 'c', value: '2' }] }
    ],
    faults: [null, 'conflict'],
    rows: [['a', 1, 'o1']]
  }
]

for (const [name, open] of Object.entries(SUBJECTS)) {
  for (const { title, steps, faults, rows } of CASES) {
    test(`${name}: ${title}`, async () => {
      const { table, close } = await open()
      const seen: Array<TableFault | null> = []
      for (const step of steps) {
        const answer = await table.commit(step)
        seen.push(answer.isErr() ? answer.error.fault : null)
      }
      expect(seen).toEqual(faults)
      const found = (await table.list({ prefix: '' })).unwrap()
      expect(found.map(row => [row.key, row.version, row.operation])).toEqual(rows)
      await close()
    })
  }

  test(`${name}: rows are listed in order, after a key and up to a limit`, async () => {
    const { table, close } = await open()
    for (const key of ['t/3', 't/1', 'u/1', 't/2', 't/4']) await table.commit(createPut(`o-${key}`, key, 0, key))
    const keys = async (after?: string, limit?: number): Promise<string[]> => (await table.list({ prefix: 't/', after, limit })).unwrap().map(row => row.key)
    expect(await keys()).toEqual(['t/1', 't/2', 't/3', 't/4'])
    expect(await keys('t/1', 2)).toEqual(['t/2', 't/3'])
    expect((await table.read(['t/4', 'none'])).unwrap().map(row => row.value)).toEqual(['t/4'])
    await close()
  })

  const FAULT_CASES: Array<{ title: string, faults: Partial<Faults>, read: TableFault | null, commit: TableFault, written: boolean }> = [
    { title: 'a table that is down writes nothing', faults: { down: true }, read: 'unavailable', commit: 'unavailable', written: false },
    { title: 'a lost answer leaves the write in effect', faults: { loseAnswers: true }, read: null, commit: 'unknown', written: true },
    { title: 'a late write takes effect after it was answered as unknown', faults: { lateWrites: 20 }, read: null, commit: 'unknown', written: true }
  ]

  for (const { title, faults, read, commit, written } of FAULT_CASES) {
    test(`${name}: ${title}`, async () => {
      const subject = await open()
      Object.assign(subject.faults, faults)
      const committed = await subject.table.commit(createPut('o1', 'a', 0, '1'))
      expect(committed.isErr() && committed.error.fault).toEqual(commit)
      const answer = await subject.table.read(['a'])
      expect(answer.isErr() ? answer.error.fault : null).toEqual(read)
      Object.assign(subject.faults, { down: false, loseAnswers: false, lateWrites: 0 })
      await clock.advance(60)
      expect((await subject.table.read(['a'])).unwrap().length).toEqual(written ? 1 : 0)
      await subject.close()
    })
  }
}

test('HttpTable: a time-out is unknown for a commit and unavailable for a read', async () => {
  const server = new PlatformServer({ clock })
  const table = new HttpTable({ address: await server.listen(LOCAL), timeout: 30 })
  server.table.faults.slow = 300
  const committed = await table.commit(createPut('o1', 'a', 0, '1'))
  const read = await table.read(['a'])
  expect(committed.isErr() && committed.error.fault).toEqual('unknown')
  expect(read.isErr() && read.error.fault).toEqual('unavailable')
  await table.close()
  await server.close()
})

test('HttpTable: a commit to a closed port is unavailable, because no byte was sent', async () => {
  const server = new PlatformServer({ clock })
  const address = await server.listen(LOCAL)
  await server.close()
  const table = new HttpTable({ address })
  const committed = await table.commit(createPut('o1', 'a', 0, '1'))
  expect(committed.isErr() && committed.error.fault).toEqual('unavailable')
  await table.close()
})
