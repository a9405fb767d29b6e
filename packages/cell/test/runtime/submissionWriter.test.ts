import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { SubmissionWriter } from '../../src/runtime/SubmissionWriter.js'
import type { SubmissionRow, WriteResult } from '../../src/runtime/SubmissionWriter.js'
import { submissionRowName } from '../../src/runtime/rowNames.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

/** Time for which a write waits. */
const PATIENCE_MS = 3000

interface WriterRig {
  clock: FakeClock
  tables: FakeTables
  store: FakeStore
  /** Writes a row; its outcome is added to `outcomes` once it is known. */
  write: (name: string, row: SubmissionRow) => void
  outcomes: Map<string, WriteResult['outcome']>
}

function createWriter (): WriterRig {
  const clock = new FakeClock({ start: 1000 })
  const tables = new FakeTables()
  const nodeClock = new NodeClock(clock)
  const store = new FakeStore(tables, nodeClock, clock)
  const writer = new SubmissionWriter({ store, clock: nodeClock })
  const outcomes = new Map<string, WriteResult['outcome']>()
  const write = (name: string, row: SubmissionRow): void => {
    writer.write(row, clock.now() + PATIENCE_MS).then(({ outcome }) => { outcomes.set(name, outcome) }, error => { throw error })
  }
  return { clock, tables, store, write, outcomes }
}

/** @returns the row of a submission in the part that all rows of these tests share */
function submissionOf (id: string, value: string): SubmissionRow {
  const name = { ...submissionRowName(id), part: 'j0' }
  return { name, value, absent: [name, { ...name, table: 'ended' }] }
}

describe('writes that wait for the same transaction', () => {
  // Guards against callers that all get an error because their submissions together exceed a transaction of the store.
  test('are all carried out if they are larger together than a transaction', async () => {
    const { clock, tables, write, outcomes } = createWriter()
    for (let index = 0; index < 30; index++) write(`job ${index}`, submissionOf(`${index}`, 'x'.repeat(48_000)))
    await clock.advance(500)
    expect([[...outcomes.values()], tables.rejections]).toEqual([Array.from({ length: 30 }, () => 'done'), 0])
  })

  // Guards against submissions that fail because the store rejects another one.
  test('are all carried out but for one that the store rejects', async () => {
    const { clock, tables, write, outcomes } = createWriter()
    tables.rejectedKey = '3'
    for (let index = 0; index < 6; index++) write(`job ${index}`, submissionOf(`${index}`, 'x'))
    await clock.advance(500)
    expect([...outcomes.values()].sort()).toEqual(['done', 'done', 'done', 'done', 'done', 'rejected'])
    expect(outcomes.get('job 3')).toEqual('rejected')
  })
})
