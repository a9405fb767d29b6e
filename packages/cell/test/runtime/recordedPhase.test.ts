import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { Gateway } from '../../src/runtime/Gateway.js'
import { endRowName, submissionRowName } from '../../src/runtime/rowNames.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

const ID = '00000000000000aa'
const RECORD_ROW = { table: 'tasks', part: 'd', key: ID }
/** Delay of one read, and times of the changes during it. */
const READ_DELAY_MS = 300
const ARCHIVED_AT_MS = 100
const DELETED_AT_MS = 150

// Guards against an accepted job that is answered as unknown, or an ended one that is shown as queued, while it is archived.
describe('the phase of a job that is archived while a node without an answer of the decider reads it', () => {
  for (const late of ['jobs', 'tasks', 'ended']) {
    test(`is the job's final phase or the one before if the read of the table ${late} is late`, async () => {
      const { clock, tables, store, gateway } = createGateway()
      tables.put(submissionRowName(ID), '{}')
      tables.put(RECORD_ROW, JSON.stringify({ phase: 'completed' }))
      store.readDelays.set(late, READ_DELAY_MS)
      clock.schedule(ARCHIVED_AT_MS, () => { tables.write({ expect: [], puts: [{ ...endRowName(ID), value: 'completed' }], deletes: [submissionRowName(ID)] }) })
      clock.schedule(DELETED_AT_MS, () => { tables.drop(RECORD_ROW) })
      let shown = ''
      gateway.phase(ID).then(outcome => { shown = outcome.kind === 'phase' ? outcome.phase : outcome.kind }, error => { throw error })
      await clock.advance(4 * READ_DELAY_MS)
      expect(shown).toEqual('completed')
    })
  }

  test('is queued while the job has no record and has not ended', async () => {
    const { clock, tables, gateway } = createGateway()
    tables.put(submissionRowName(ID), '{}')
    let shown = ''
    gateway.phase(ID).then(outcome => { shown = outcome.kind === 'phase' ? outcome.phase : outcome.kind }, error => { throw error })
    await clock.advance(READ_DELAY_MS)
    expect(shown).toEqual('queued')
  })
})

function createGateway (): { clock: FakeClock, tables: FakeTables, store: FakeStore, gateway: Gateway } {
  const clock = new FakeClock({ start: 1000 })
  const tables = new FakeTables()
  const nodeClock = new NodeClock(clock)
  const store = new FakeStore(tables, nodeClock, clock)
  const gateway = new Gateway({ store, clock: nodeClock, decider: { query: async () => undefined, announceJob: () => {}, announceCancellation: () => {}, forwardWrite: async () => undefined } })
  return { clock, tables, store, gateway }
}
