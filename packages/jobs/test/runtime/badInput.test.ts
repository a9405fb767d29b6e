import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { JobMessage } from '@rattanstep/core'
import { Cell } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'

/**
 * Guards against a node that throws or stops its work on malformed messages, job specifications or table rows, such as those
 * of another release.
 */

const SEED = 20_262

const operations = fc.oneof(fc.constantFrom('hold', 'held', 'release', 'committed', 'changed', 'stirred', '__proto__'), fc.string())
const bodies = fc.oneof(
  fc.string(),
  fc.json(),
  fc.record({ unit: fc.jsonValue(), holds: fc.jsonValue(), jobs: fc.jsonValue(), workers: fc.jsonValue(), needs: fc.jsonValue() }).map(body => JSON.stringify(body)),
  fc.record({ jobs: fc.array(fc.string(), { maxLength: 3 }), workers: fc.array(fc.string(), { maxLength: 3 }), unit: fc.string({ minLength: 1 }), holds: fc.array(fc.string(), { maxLength: 2 }) }).map(body => JSON.stringify(body))
)
const messages = fc.record({ kind: fc.constant('job' as const), id: fc.string(), operation: operations, body: bodies })

test('a node keeps running jobs after messages of any shape', async () => {
  const cell = new Cell()
  const [first] = cell.nodes
  fc.assert(fc.property(messages, (message: JobMessage) => { first!.jobs.receive('stranger@1', message) }), { seed: SEED, numRuns: 500 })
  await cell.clock.advance(500)
  await Promise.all([first!.jobs.submit({ id: 'b', kind: 'batch', class: 'audio', tasks: [{ command: 'run 100' }] }), cell.clock.advance(2000)])
  expect(readTasks(cell).map(task => task.state)).toEqual(['done'])
  expect(findViolations(cell)).toEqual([])
})

test('a job of any invalid shape is answered with findings', async () => {
  const cell = new Cell()
  const [first] = cell.nodes
  const specs = fc.oneof(fc.jsonValue(), fc.record({ id: fc.string(), kind: fc.constantFrom('batch', 'gang', 'service', 'x'), class: fc.string(), tasks: fc.array(fc.jsonValue(), { maxLength: 3 }) }))
  await fc.assert(fc.asyncProperty(specs, async spec => {
    const answer = await first!.jobs.submit(spec)
    expect(answer.isErr() && answer.error.kind).toEqual('findings')
  }), { seed: SEED, numRuns: 300 })
})

const KEYS = ['job/x', 'open/x', 'open/ok', 'task/x/00000', 'on/w1/x/00000', 'keeper/w2', 'keeper/gone', 'job/', 'open/']

test('rows that do not match their schema are left unchanged and other jobs still run', async () => {
  for (const [number, value] of ['', '{}', 'null', '[1]', '{"state":"placed","fence":-1}', '{"keeper":5}', 'x'.repeat(1000)].entries()) {
    const cell = new Cell({ seed: number + 1 })
    await cell.table.commit({ operation: 'other', checks: [], writes: KEYS.filter(key => key !== 'open/ok').map(key => ({ key, value })) })
    await Promise.all([cell.nodes[0]!.jobs.submit({ id: 'ok', kind: 'batch', class: 'audio', tasks: [{ command: 'run 100' }] }), cell.clock.advance(3000)])
    const ended = cell.table.peek('task/ok/').map(row => (JSON.parse(row.value) as { state: string }).state)
    expect(ended).toEqual(['done'])
    const left = cell.table.peek('').filter(row => row.operation === 'other').map(row => row.key)
    expect(left.length).toBeGreaterThan(KEYS.length - 3)
  }
})
