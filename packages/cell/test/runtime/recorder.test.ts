import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { MemoryLog } from '@rattanstep/telemetry'
import { Recorder } from '../../src/runtime/Recorder.js'
import type { RecordChange } from '../../src/runtime/Recorder.js'
import { TERM_ROW, encodeTerm } from '../../src/runtime/Term.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

const TERM = { fence: 1, node: 'n0', start: '1', address: 'n0:1', serial: 0, isSuspicion: false }

/** @returns keys that a recorder reports as recorded, in order, after a fault in one of its callbacks */
async function record (callbacks: { encode?: () => void, onRecorded?: () => void }): Promise<{ recorded: string[], log: MemoryLog }> {
  const clock = new FakeClock({ start: 1000 })
  const tables = new FakeTables()
  tables.put(TERM_ROW, encodeTerm(TERM))
  const nodeClock = new NodeClock(clock)
  const log = new MemoryLog()
  const recorded: string[] = []
  const recorder = new Recorder({
    store: new FakeStore(tables, nodeClock, clock),
    clock: nodeClock,
    log,
    term: TERM,
    version: tables.version,
    encode: (key): RecordChange => {
      callbacks.encode?.()
      return { kind: 'put', value: key }
    },
    callbacks: {
      onRecorded: keys => {
        callbacks.onRecorded?.()
        recorded.push(...keys)
      },
      onTermLost: () => { throw new Error('the term is not lost') }
    }
  })
  recorder.markDirty('a')
  await clock.advance(1000)
  recorder.markDirty('b')
  await clock.advance(1000)
  return { recorded, log }
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
})
