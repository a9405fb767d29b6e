import { test } from 'node:test'
import { expect } from 'earl'
import type { JobSpec } from '../../src/index.js'
import { Cell } from './Cell.js'
import { findViolations } from './invariants.js'

function makeJob (id: string, kind: JobSpec['kind'], count: number, command: string): JobSpec {
  const className = { batch: 'audio', gang: 'ledger', service: 'desk' }[kind]
  return { id, kind, class: className, tasks: Array.from({ length: count }, () => ({ command })) }
}

async function stateOf (cell: Cell, id: string): Promise<string> {
  const answer = cell.nodes[0]!.jobs.status(id)
  await cell.clock.advance(1)
  const status = (await answer).unwrap()
  return status === null ? 'none' : `${status.state} ${status.tasks.map(task => task.state).join(',')}`
}

test('a batch job runs to completion', async () => {
  const cell = new Cell()
  const accepted = cell.nodes[0]!.jobs.submit(makeJob('b', 'batch', 3, 'run 200'))
  await cell.clock.advance(3000)
  expect((await accepted).isOk()).toEqual(true)
  expect(await stateOf(cell, 'b')).toEqual('done done,done,done')
  expect(cell.workers.runs.length).toEqual(3)
  const left = [...cell.instances.values()].flatMap(worker => cell.workers.host(worker).report().tasks)
  expect(left).toEqual([])
  expect(findViolations(cell)).toEqual([])
})

test('all tasks of a gang run at the same time', async () => {
  const cell = new Cell()
  await Promise.all([cell.nodes[0]!.jobs.submit(makeJob('g', 'gang', 6, 'run 300')), cell.clock.advance(3000)])
  expect(await stateOf(cell, 'g')).toEqual('done done,done,done,done,done,done')
  const { runs } = cell.workers
  expect(Math.max(...runs.map(run => run.from)) < Math.min(...runs.map(run => run.until ?? 0))).toEqual(true)
  expect(findViolations(cell)).toEqual([])
})

test('a service runs until it is cancelled', async () => {
  const cell = new Cell()
  await Promise.all([cell.nodes[0]!.jobs.submit(makeJob('s', 'service', 2, 'serve')), cell.clock.advance(5000)])
  expect(await stateOf(cell, 's')).toEqual('open placed,placed')
  await Promise.all([cell.nodes[1]!.jobs.cancel('s'), cell.clock.advance(1000)])
  expect(await stateOf(cell, 's')).toEqual('cancelled cancelled,cancelled')
  expect(cell.workers.runs.every(run => run.until !== null)).toEqual(true)
})
