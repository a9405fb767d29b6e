import { test } from 'node:test'
import type { Message } from '@rattanstep/core'
import { expect } from 'earl'
import fc from 'fast-check'
import { Cell } from '../support/Cell.js'

// A message with hostile or malformed content could throw in a handler, or be taken for a valid assignment, vote or
// promise. Random messages from senders that are not holders must not change the assignment or stop a node.

const SEED = 7

const name = fc.oneof(fc.string(), fc.constantFrom('n0@1', 'n1@2', 'n2@3', '__proto__'))
const number = fc.oneof(fc.integer(), fc.double(), fc.constantFrom(NaN, Infinity, -1))
const message: fc.Arbitrary<Message> = fc.oneof(
  fc.record({
    kind: fc.constant('heartbeat' as const),
    version: fc.integer({ max: 3 }),
    sentAt: number,
    wantsPromise: fc.boolean(),
    countsBy: fc.array(name),
    rules: number,
    load: fc.constant(null)
  }),
  fc.record({ kind: fc.constant('promise' as const), version: number, sentAt: number, granted: fc.boolean() }),
  fc.record({ kind: fc.constant('vote-request' as const), holder: name, version: number }),
  fc.record({ kind: fc.constant('vote' as const), holder: name, version: number, granted: fc.constant(false) }),
  fc.record({ kind: fc.constant('fetch' as const), what: fc.constant('assignment' as const) }),
  fc.record({ kind: fc.constant('assignment' as const), assignment: fc.anything() as fc.Arbitrary<never> })
)

test('messages of any content from nodes that are not holders neither stop a cell nor move a resource', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  const { assignment } = cell.node('n0').ownership
  const batches = fc.sample(fc.array(fc.tuple(name, message), { maxLength: 20 }), { seed: SEED, numRuns: 300 })
  let received = 0
  for (const batch of batches) {
    for (const [from, content] of batch) {
      for (const { ownership } of cell.processes.values()) received += ownership.receive(`stranger ${from}`, content) ? 1 : 0
    }
    await cell.run(100)
  }
  expect(received).toBeGreaterThan(1000)
  expect(cell.node('n0').ownership.assignment.version).toEqual(assignment.version)
  expect(cell.isServed()).toEqual(true)
  expect(cell.violations).toEqual([])
})
