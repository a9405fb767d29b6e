import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { SubmissionWriter } from '../../src/runtime/SubmissionWriter.js'
import type { SubmissionRow, WriteResult } from '../../src/runtime/SubmissionWriter.js'
import { CANCELLATION_SUFFIX, submissionRowName, WITHDRAWN } from '../../src/runtime/rowNames.js'
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

/** @returns the row of a withdrawal of the job */
function withdrawalOf (id: string): SubmissionRow {
  const { absent } = submissionOf(id, '')
  return { name: absent[1]!, value: WITHDRAWN, absent }
}

/** Has a transaction of another job get no answer, so that the writes that follow wait for each other. */
function occupy ({ store, write, clock }: WriterRig): void {
  store.condition = 'silent'
  write('other', submissionOf('other', 'x'))
  clock.schedule(100, () => { store.condition = 'normal' })
}

/** @returns values of the rows of a job on record */
function rowsOf (tables: FakeTables, id: string): string[] {
  return [...tables.rows.values()].filter(({ key }) => key.startsWith(id)).map(({ value }) => value)
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

describe('two writes of one job that wait for the same transaction', () => {
  // Guards against a job that runs although its cancelling was answered with 410: both rows were written, each expecting the other one absent.
  test('are a submission or a withdrawal on record, and never both', async () => {
    for (const [first, second, outcome, row] of [['submission', 'withdrawal', 'repeated', 'text'], ['withdrawal', 'submission', 'withdrawn', WITHDRAWN]] as const) {
      const rig = createWriter()
      occupy(rig)
      for (const name of [first, second]) rig.write(name, name === 'submission' ? submissionOf('a', 'text') : withdrawalOf('a'))
      await rig.clock.advance(PATIENCE_MS)
      expect([rig.outcomes.get(first), rig.outcomes.get(second), rowsOf(rig.tables, 'a')]).toEqual(['done', outcome, [row]])
    }
  })

  // Guards against a submission whose text overwrites that of an earlier one, while both callers are told that theirs is new.
  test('are one submission and its repetition', async () => {
    const rig = createWriter()
    occupy(rig)
    rig.write('first', submissionOf('a', 'first text'))
    rig.write('second', submissionOf('a', 'second text'))
    await rig.clock.advance(PATIENCE_MS)
    expect([rig.outcomes.get('first'), rig.outcomes.get('second'), rowsOf(rig.tables, 'a')]).toEqual(['done', 'repeated', ['first text']])
  })

  // Guards against a job that is announced with a text that is not on record, because another node's submission of its id came first.
  test('at two nodes are one submission and its repetition, also if the later one got no answer at first', async () => {
    const rig = createWriter()
    rig.store.condition = 'silent'
    rig.write('first', submissionOf('a', 'first text'))
    await rig.clock.advance(100)
    rig.tables.put(submissionOf('a', '').name, 'text of another node')
    rig.store.condition = 'normal'
    await rig.clock.advance(PATIENCE_MS)
    expect([rig.outcomes.get('first'), rowsOf(rig.tables, 'a')]).toEqual(['repeated', ['text of another node']])
  })

  test('are carried out in the order in which they came, also after a lost answer', async () => {
    const rig = createWriter()
    rig.store.condition = 'losing-answers'
    rig.write('submission', submissionOf('a', 'text'))
    await rig.clock.advance(100)
    rig.store.condition = 'normal'
    rig.write('withdrawal', withdrawalOf('a'))
    rig.write('cancellation', { name: { ...submissionOf('a', '').name, key: 'a' + CANCELLATION_SUFFIX }, value: '{}', absent: [withdrawalOf('a').name] })
    await rig.clock.advance(PATIENCE_MS)
    expect([...rig.outcomes]).toEqual([['submission', 'done'], ['withdrawal', 'repeated'], ['cancellation', 'done']])
  })

  test('leave the writes of other jobs in one transaction', async () => {
    const rig = createWriter()
    occupy(rig)
    for (const id of ['a', 'b', 'c']) for (const row of [submissionOf(id, 'text'), withdrawalOf(id)]) rig.write(row.value === WITHDRAWN ? `withdrawal ${id}` : `submission ${id}`, row)
    await rig.clock.advance(PATIENCE_MS)
    expect(rig.tables.rows.size).toEqual(4)
    // One that got no answer, then the first writes of all jobs, then the second ones.
    expect(rig.store.calls).toEqual(3)
  })
})
