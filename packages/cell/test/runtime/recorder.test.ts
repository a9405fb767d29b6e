import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { Recorder } from '../../src/runtime/Recorder.js'
import type { RecordChange } from '../../src/runtime/Recorder.js'
import { TERM_ROW, encodeTerm } from '../../src/runtime/Term.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

const TERM = { fence: 1, node: 'n0', start: '1', address: 'n0:1', serial: 0, isSuspicion: false }

interface RecorderRig {
  clock: FakeClock
  tables: FakeTables
  recorder: Recorder
  log: MemoryLog
  recorded: string[]
  rejected: string[]
}

function createRecorder ({ encode = key => key, onRecorded = () => {} }: { encode?: (key: string) => string, onRecorded?: () => void } = {}): RecorderRig {
  const clock = new FakeClock({ start: 1000 })
  const tables = new FakeTables()
  tables.put(TERM_ROW, encodeTerm(TERM))
  const nodeClock = new NodeClock(clock)
  const log = new MemoryLog()
  const recorded: string[] = []
  const rejected: string[] = []
  const recorder = new Recorder({
    store: new FakeStore(tables, nodeClock, clock),
    clock: nodeClock,
    log,
    metrics: new Metrics(),
    term: TERM,
    version: tables.version,
    encode: (key): RecordChange => ({ kind: 'put', value: encode(key) }),
    callbacks: {
      onRecorded: keys => {
        onRecorded()
        recorded.push(...keys)
      },
      onRejected: key => { rejected.push(key) },
      onTermLost: () => { throw new Error('the term is not lost') }
    }
  })
  return { clock, tables, recorder, log, recorded, rejected }
}

/** @returns keys that a recorder reports as recorded, in order, after a fault in one of its callbacks */
async function record (callbacks: { encode?: () => void, onRecorded?: () => void }): Promise<{ recorded: string[], log: MemoryLog }> {
  const { clock, recorder, recorded, log } = createRecorder({
    ...callbacks,
    encode: key => {
      callbacks.encode?.()
      return key
    }
  })
  recorder.markDirty('a')
  await clock.advance(1000)
  recorder.markDirty('b')
  await clock.advance(1000)
  return { recorded, log }
}

/** @returns the encoded record of a job with a text of the given length */
function recordOf (length: number): string {
  return JSON.stringify({ phase: 'open', text: 'x'.repeat(length) })
}

/** @returns a function that throws at its first call */
function throwOnce (): () => void {
  let hasThrown = false
  return () => {
    if (hasThrown) return
    hasThrown = true
    throw new Error('a callback failed')
  }
}

// Guards against a decider that never commits again after one fault, while its other loops go on.
describe('a recorder', () => {
  for (const callback of ['encode', 'onRecorded'] as const) {
    test(`writes the same keys again, and later ones, after a fault in ${callback}`, async () => {
      const { recorded, log } = await record({ [callback]: throwOnce() })
      expect([recorded, log.lines.map(({ event }) => event.name)]).toEqual([['a', 'b'], ['cell-fault']])
    })
  }

  // Guards against a record that the store never accepts and that stops all others: its transaction was sent again for ever.
  test('writes all other records while the store rejects one, which is named in the log and written once it is accepted', async () => {
    const { clock, tables, recorder, recorded, rejected, log } = createRecorder()
    tables.rejectedKey = 'b'
    for (const key of ['a', 'b', 'c']) recorder.markDirty(key)
    await clock.advance(900)
    recorder.markDirty('d')
    await clock.advance(90)
    expect([recorded, rejected, recorder.rejectedRecords]).toEqual([['a', 'c', 'd'], ['b'], 1])
    expect(log.lines.map(({ event, fields }) => [event.name, fields.job])).toEqual([['record-rejected', 'b']])
    tables.rejectedKey = ''
    await clock.advance(1000)
    expect([recorded, recorder.rejectedRecords, tables.rejections]).toEqual([['a', 'c', 'd', 'b'], 0, 2])
  })

  // Guards against a record that is larger than a transaction: it is rejected with any others, and must not be tried together with them again.
  test('writes other records while one exceeds a transaction', async () => {
    const { clock, recorder, recorded, rejected } = createRecorder({ encode: key => recordOf(key === 'b' ? 2_000_000 : 1) })
    for (const key of ['a', 'b', 'c']) recorder.markDirty(key)
    await clock.advance(5000)
    expect([recorded, new Set(rejected)]).toEqual([['a', 'c'], new Set(['b'])])
  })

  // Guards against records that fit one by one and not together: the store rejected their transaction again and again.
  test('writes no more records together than one transaction can hold', async () => {
    const { clock, tables, recorder, recorded } = createRecorder({ encode: () => recordOf(45_000) })
    const keys = Array.from({ length: 60 }, (_, index) => `job-${index}`)
    for (const key of keys) recorder.markDirty(key)
    await clock.advance(1000)
    expect([recorded, tables.rejections]).toEqual([keys, 0])
  })
})
