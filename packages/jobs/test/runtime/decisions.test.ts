import { test } from 'node:test'
import { expect } from 'earl'
import type { JobSpec } from '../../src/index.js'
import { Cell, makeClass } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'
import { nameTransaction } from './Gate.js'

function describe (id: string, kind: JobSpec['kind'], name: string, commands: string[], resources = {}): JobSpec {
  return { id, kind, class: name, tasks: commands.map(command => ({ command, resources })) }
}

async function submit (cell: Cell, ...jobs: unknown[]): Promise<void> {
  const answers = Promise.all(jobs.map(async job => await cell.nodes[0]!.jobs.submit(job)))
  await cell.clock.advance(50)
  for (const answer of await answers) expect(answer.isOk()).toEqual(true)
}

function states (cell: Cell, job: string): string {
  return readTasks(cell).filter(task => task.job === job).map(task => task.state).join(',')
}

const FINDINGS: Array<{ title: string, job: unknown, codes: string[] }> = [
  { title: 'no object', job: 'run', codes: ['job-shape'] },
  { title: 'several faults of shape', job: { id: 'a/b', kind: 'other', class: '', tasks: [] }, codes: ['job-shape', 'job-shape', 'job-shape', 'job-shape'] },
  { title: 'an unknown key', job: { ...describe('a', 'batch', 'audio', ['x']), prio: 1 }, codes: ['job-shape'] },
  { title: 'an unknown class', job: describe('a', 'batch', 'none', ['x']), codes: ['job-class'] },
  { title: 'a class of another kind', job: describe('a', 'batch', 'ledger', ['x']), codes: ['job-kind'] },
  { title: 'a task larger than any worker', job: describe('a', 'batch', 'audio', ['x'], { cores: 9 }), codes: ['job-never-fits'] },
  { title: 'a gang larger than the cell', job: describe('a', 'gang', 'ledger', Array<string>(13).fill('x')), codes: ['job-never-fits'] },
  { title: 'a gang that does not divide over the workers', job: describe('a', 'gang', 'ledger', Array<string>(4).fill('x'), { cores: 5 }), codes: ['job-never-fits'] },
  { title: 'a task that needs nothing', job: describe('a', 'batch', 'audio', ['x'], { slots: 0, cores: 0 }), codes: ['job-resources'] },
  { title: 'an unknown class and a misfit', job: describe('a', 'batch', 'none', ['x'], { slots: 5 }), codes: ['job-class', 'job-never-fits'] }
]

for (const { title, job, codes } of FINDINGS) {
  test(`a job is refused with findings: ${title}`, async () => {
    const cell = new Cell()
    const answer = await cell.nodes[0]!.jobs.submit(job)
    const found = answer.isErr() && answer.error.kind === 'findings' ? answer.error.findings.map(finding => finding.code) : []
    expect(found).toEqual(codes)
    expect(cell.table.peek('job/')).toEqual([])
  })
}

test('a repeat of a job is accepted once, another job of the same id is refused', async () => {
  const cell = new Cell()
  const job = describe('a', 'batch', 'audio', ['run 10'])
  await submit(cell, job)
  await submit(cell, job)
  const clash = cell.nodes[1]!.jobs.submit(describe('a', 'batch', 'audio', ['run 20']))
  await cell.clock.advance(500)
  const answer = await clash
  expect(answer.isErr() && answer.error.kind === 'findings' && answer.error.findings[0]!.code).toEqual('job-id-used')
  expect(cell.workers.runs.length).toEqual(1)
})

test('the largest needs are placed first, so that a gang fits that would not in its own order', async () => {
  const cell = new Cell({ workers: 2 })
  const tasks = [{ cores: 2 }, { cores: 2 }, { cores: 3 }, { cores: 3 }, { cores: 6 }].map(resources => ({ command: 'run 100', resources }))
  await submit(cell, { id: 'g', kind: 'gang', class: 'ledger', tasks })
  await cell.clock.advance(1500)
  expect(states(cell, 'g')).toEqual('done,done,done,done,done')
})

test('two gangs that each need the whole cell both finish', async () => {
  const cell = new Cell({ nodes: 3 })
  await submit(cell, ...['g1', 'g2'].map(id => describe(id, 'gang', 'ledger', Array.from({ length: 12 }, (_, number) => `run ${300 + number % 4 * 200}`))))
  for (let waited = 0; waited < 6000; waited += 20) {
    await cell.clock.advance(20)
    expect(findViolations(cell)).toEqual([])
  }
  expect([states(cell, 'g1'), states(cell, 'g2')].every(text => text === Array<string>(12).fill('done').join(','))).toEqual(true)
  expect(findViolations(cell)).toEqual([])
})

test('an old gang gets its room although young tasks keep coming', async () => {
  const cell = new Cell({ workers: 2, tuning: { gangReservationAge: 500 } })
  const stream = Array.from({ length: 60 }, (_, number) => describe(`b${number}`, 'batch', 'audio', ['run 400', 'run 400']))
  for (const [number, job] of stream.entries()) cell.clock.schedule(number * 80, () => { cell.nodes[0]!.jobs.submit(job).catch(() => {}) })
  await cell.clock.advance(500)
  await submit(cell, describe('g', 'gang', 'ledger', Array<string>(8).fill('run 100')))
  await cell.clock.advance(3000)
  expect(new Set(states(cell, 'g').split(','))).toEqual(new Set(['done']))
  await cell.clock.advance(20_000)
  expect(readTasks(cell).every(task => task.state === 'done')).toEqual(true)
  expect(findViolations(cell)).toEqual([])
})

test('a class that may preempt moves lower tasks off, which go on from their checkpoints', async () => {
  const cell = new Cell({ workers: 1 })
  cell.classes = [{ ...makeClass('audio', 'batch'), priority: 10 }, { ...makeClass('ledger', 'gang'), priority: 50, preempts: 'checkpoint' }]
  await submit(cell, describe('low', 'batch', 'audio', Array<string>(4).fill('run 1000')))
  await cell.clock.advance(500)
  await submit(cell, describe('high', 'gang', 'ledger', ['run 300', 'run 300']))
  await cell.clock.advance(1000)
  expect(states(cell, 'high')).toEqual('done,done')
  await cell.clock.advance(3000)
  expect(states(cell, 'low')).toEqual('done,done,done,done')
  const worked = cell.workers.runs.filter(run => run.task.startsWith('low')).reduce((sum, run) => sum + (run.until ?? 0) - run.from, 0)
  expect(cell.workers.runs.length).toEqual(8)
  expect(Math.round(worked)).toEqual(4000)
  expect(findViolations(cell)).toEqual([])
})

test('a class that may not preempt waits', async () => {
  const cell = new Cell({ workers: 1 })
  cell.classes = [{ ...makeClass('audio', 'batch'), priority: 10 }, { ...makeClass('ledger', 'gang'), priority: 50 }]
  await submit(cell, describe('low', 'batch', 'audio', Array<string>(4).fill('run 2000')))
  await cell.clock.advance(500)
  await submit(cell, describe('high', 'gang', 'ledger', ['run 300']))
  await cell.clock.advance(1000)
  expect(states(cell, 'high')).toEqual('pending')
  expect(cell.workers.runs.length).toEqual(4)
})

test('a run past the bound of its class is cut off and given up after its attempts', async () => {
  const cell = new Cell()
  cell.classes = [{ ...makeClass('audio', 'batch'), bound: 300 }]
  await submit(cell, describe('b', 'batch', 'audio', ['serve', 'run 100']))
  await cell.clock.advance(6000)
  expect(states(cell, 'b')).toEqual('failed,done')
  expect(cell.workers.runs.filter(run => run.task === 'b/00000').every(run => run.until! - run.from <= 600)).toEqual(true)
})

test('work that finds no room within the patience of its class ends without a run', async () => {
  const cell = new Cell({ workers: 1 })
  cell.classes = [{ ...makeClass('audio', 'batch'), patience: 1000 }]
  await submit(cell, describe('a', 'batch', 'audio', Array<string>(4).fill('run 3000')))
  await submit(cell, describe('b', 'batch', 'audio', ['run 10']))
  await cell.clock.advance(2000)
  expect(states(cell, 'b')).toEqual('failed')
  expect(cell.workers.runs.length).toEqual(4)
})

test('tasks that can no longer fit are parked with the reason, and go on once the cell has grown', async () => {
  const cell = new Cell({ workers: 2 })
  cell.addWorker('big', { slots: 8, cores: 64, memory: 1000, accelerators: 0 })
  cell.assignUnownedWorkers()
  await submit(cell, describe('b', 'batch', 'audio', ['run 2000'], { cores: 32 }))
  await cell.clock.advance(500)
  cell.removeWorker('big')
  await cell.clock.advance(3000)
  expect(states(cell, 'b')).toEqual('parked')
  cell.addWorker('bigger', { slots: 8, cores: 64, memory: 1000, accelerators: 0 })
  cell.assignUnownedWorkers()
  await cell.clock.advance(5000)
  expect(states(cell, 'b')).toEqual('done')
})

test('a worker that fails everything is given nothing while its peers do well, and is tried again later', async () => {
  const cell = new Cell({ nodes: 1, workers: 3, tuning: { quarantineDuration: 4000 } })
  cell.workers.host(cell.instances.get('w1')!).failing = true
  for (let number = 0; number < 40; number++) {
    cell.clock.schedule(number * 100, () => { cell.nodes[0]!.jobs.submit(describe(`b${number}`, 'batch', 'audio', ['run 50', 'run 50'])).catch(() => {}) })
  }
  await cell.clock.advance(6000)
  expect(cell.quarantinedWorkers).toEqual(['w1'])
  expect(readTasks(cell).every(task => task.state === 'done')).toEqual(true)
  const failed = cell.workers.runs.filter(run => run.worker === 'w1').length
  expect(failed).toBeLessThan(12)
  cell.workers.host(cell.instances.get('w1')!).failing = false
  await cell.clock.advance(4000)
  await submit(cell, describe('last', 'batch', 'audio', Array<string>(12).fill('run 500')))
  await cell.clock.advance(1000)
  expect(cell.workers.runs.filter(run => run.worker === 'w1').length).toBeGreaterThan(failed)
})

test('a wave of cancellations is written in few transactions', async () => {
  const cell = new Cell({ workers: 10 })
  const jobs = Array.from({ length: 40 }, (_, number) => describe(`s${number}`, 'service', 'desk', ['serve']))
  await submit(cell, ...jobs)
  await cell.clock.advance(3000)
  expect(readTasks(cell).filter(task => task.state === 'placed').length).toEqual(40)
  const names: string[] = []
  cell.table.onCommit = transaction => { names.push(nameTransaction(transaction)) }
  const answers = Promise.all(jobs.map(async job => await cell.nodes[0]!.jobs.cancel(job.id)))
  await cell.clock.advance(1500)
  expect((await answers).every(answer => answer.isOk())).toEqual(true)
  expect(readTasks(cell).every(task => task.state === 'cancelled')).toEqual(true)
  expect(names.filter(name => name === 'cancel job').length).toEqual(1)
  expect(names.length).toBeLessThan(30)
  expect(cell.workers.runs.every(run => run.until !== null)).toEqual(true)
})
