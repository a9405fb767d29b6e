import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock, SeededRandom } from '@rattanstep/core'
import type { Transaction } from '@rattanstep/core'
import { commitSettled } from '@rattanstep/platform'
import type { CommitResult } from '@rattanstep/platform'
import { MemoryTable } from '../../src/index.js'
import type { Faults } from '../../src/index.js'

const CHANGE: Transaction = { operation: 'mine', checks: [{ key: 'a', version: 1 }], writes: [{ key: 'a', value: 'mine' }] }

interface Case {
  title: string
  /** Faults of each write, in order. */
  faults: Array<Partial<Faults>>
  /** Whether another writer changes the row after the first write. */
  hasRival: boolean
  outcome: CommitResult['outcome']
  value: string
}

const DOWN = { down: true }
const LOST = { loseAnswers: true }
const LATE = { lateWrites: 500 }

const CASES: Case[] = [
  { title: 'no fault', faults: [], hasRival: false, outcome: 'committed', value: 'mine' },
  { title: 'lost answer', faults: [LOST], hasRival: false, outcome: 'committed', value: 'mine' },
  { title: 'unavailable for two writes', faults: [DOWN, DOWN], hasRival: false, outcome: 'committed', value: 'mine' },
  { title: 'unavailable for all writes', faults: [DOWN, DOWN, DOWN], hasRival: false, outcome: 'unavailable', value: 'old' },
  { title: 'late write, repeated before it takes effect', faults: [LATE], hasRival: false, outcome: 'committed', value: 'mine' },
  { title: 'late write at every attempt', faults: [LATE, LATE, LATE], hasRival: false, outcome: 'undecided', value: 'mine' },
  { title: 'lost answer, then changed by another writer', faults: [LOST, DOWN], hasRival: true, outcome: 'undecided', value: 'rival' }
]

for (const { title, faults, hasRival, outcome, value } of CASES) {
  test(`a transaction is settled: ${title}`, async () => {
    const clock = new FakeClock()
    const table = new MemoryTable({ clock })
    await table.commit({ operation: 'first', checks: [], writes: [{ key: 'a', value: 'old' }] })
    const offset = table.faultInjector.writeCount
    table.faults.forWrite = write => faults[write - offset] ?? null
    if (hasRival) table.onCommit = overwriteOnce(table)
    let settled: CommitResult | null = null
    commitSettled(table, CHANGE, { clock, random: new SeededRandom(1), attempts: 3 }).then(result => { settled = result }, () => {})
    await clock.advance(5000)
    expect((settled as CommitResult | null)?.outcome).toEqual(outcome)
    expect(table.peek('a').map(row => row.value)).toEqual([value])
  })
}

function overwriteOnce (table: MemoryTable): (transaction: Transaction) => void {
  return transaction => {
    if (transaction.operation !== 'mine') return
    table.faults.forWrite = () => null
    table.commit({ operation: 'rival', checks: [], writes: [{ key: 'a', value: 'rival' }] }).catch(() => {})
  }
}
