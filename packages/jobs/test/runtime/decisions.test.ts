import { test } from 'node:test'
import { expect } from 'earl'
import type { JobSpec } from '../../src/index.js'
import { Cell, makeClass } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'
import { classifyTransaction } from './Gate.js'

function makeJob (id: string, kind: JobSpec['kind'], className: string, commands: string[], resources = {}): JobSpec {
  return { id, kind, class: className, tasks: commands.map(command => ({ command, resources })) }
}

async function submit (cell: Cell, ...jobs: unknown[]): Promise<void> {
  const answers = Promise.all(jobs.map(async job => await cell.nodes[0]!.jobs.submit(job)))
  await cell.clock.advance(50)
  for (const answer of await answers) expect(answer.isOk()).toEqual(true)
}

function taskStates (cell: Cell, job: string): string {
  return readTasks(cell).filter(task => task.job === job).map(task => task.state).join(',')
}

const FINDINGS: Array<{ title: string, job: unknown, codes: string[] }> = [
  { title: 'not an object', job: 'run', codes: ['job-shape'] },
  { title: 'several errors of shape', job: { id: 'a/b', kind: 'other', class: '', tasks: [] }, codes: ['job-shape', 'job-shape', 'job-shape', 'job-shape'] },
  { title: 'an unknown key', job: { ...makeJob('a', 'batch', 'audio', ['x']), prio: 1 }, codes: ['job-shape'] },
  { title: 'an unknown class', job: makeJob('a', 'batch', 'none', ['x']), codes: ['job-class'] },
  { title: 'a class of another kind', job: makeJob('a', 'batch', 'ledger', ['x']), codes: ['job-kind'] },
  { title: 'a task larger than any worker', job: makeJob('a', 'batch', 'audio', ['x'], { cores: 9 }), codes: ['job-never-fits'] },
  { title: 'a gang larger than the cell', job: makeJob('a', 'gang', 'ledger', Array<string>(13).fill('x')), codes: ['job-never-fits'] },
  { title: 'a gang whose tasks cannot be divided among the workers', job: makeJob('a', 'gang', 'ledger', Array<string>(4).fill('x'), { cores: 5 }), codes: ['job-never-fits'] },
  { title: 'a task that needs no resources', job: makeJob('a', 'batch', 'audio', ['x'], { slots: 0, cores: 0 }), codes: ['job-resources'] },
  { title: 'an unknown class and a task that never fits', job: makeJob('a', 'batch', 'none', ['x'], { slots: 5 }), codes: ['job-class', 'job-never-fits'] }
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

test('submitting a job again has no effect, and another job with the same id is refused', async () => {
  const cell = new Cell()
  const job = makeJob('a', 'batch', 'audio', ['run 10'])
  await submit(cell, job)
  await submit(cell, job)
  const clash = cell.nodes[1]!.jobs.submit(makeJob('a', 'batch', 'audio', ['run 20']))
  await cell.clock.advance(500)
  const answer = await clash
  expect(answer.isErr() && answer.error.kind === 'findings' && answer.error.findings[0]!.code).toEqual('job-id-used')
  expect(cell.workers.runs.length).toEqual(1)
})

test('the largest tasks of a gang are placed first, so that a gang fits that would not fit in the order of its tasks', async () => {
  const cell = new Cell({ workers: 2 })
  const tasks = [{ cores: 2 }, { cores: 2 }, { cores: 3 }, { cores: 3 }, { cores: 6 }].map(resources => ({ command: 'run 100', resources }))
  await submit(cell, { id: 'g', kind: 'gang', class: 'ledger', tasks })
  await cell.clock.advance(1500)
  expect(taskStates(cell, 'g')).toEqual('done,done,done,done,done')
})

test('two gangs that each need the whole cell both finish', async () => {
  const cell = new Cell({ nodes: 3 })
  await submit(cell, ...['g1', 'g2'].map(id => makeJob(id, 'gang', 'ledger', Array.from({ length: 12 }, (_, number) => `run ${300 + number % 4 * 200}`))))
  for (let waited = 0; waited < 6000; waited += 20) {
    await cell.clock.advance(20)
    expect(findViolations(cell)).toEqual([])
  }
  expect([taskStates(cell, 'g1'), taskStates(cell, 'g2')].every(text => text === Array<string>(12).fill('done').join(','))).toEqual(true)
  expect(findViolations(cell)).toEqual([])
})

test('an old gang gets capacity although younger jobs keep arriving', async () => {
  const cell = new Cell({ workers: 2, tuning: { gangReservationAge: 500 } })
  const stream = Array.from({ length: 60 }, (_, number) => makeJob(`b${number}`, 'batch', 'audio', ['run 400', 'run 400']))
  for (const [number, job] of stream.entries()) cell.clock.schedule(number * 80, () => { cell.nodes[0]!.jobs.submit(job).catch(() => {}) })
  await cell.clock.advance(500)
  await submit(cell, makeJob('g', 'gang', 'ledger', Array<string>(8).fill('run 100')))
  await cell.clock.advance(3000)
  expect(new Set(taskStates(cell, 'g').split(','))).toEqual(new Set(['done']))
  await cell.clock.advance(20_000)
  expect(readTasks(cell).every(task => task.state === 'done')).toEqual(true)
  expect(findViolations(cell)).toEqual([])
})

test('a class that may preempt displaces tasks of lower priority, which resume from their checkpoints', async () => {
  const cell = new Cell({ workers: 1 })
  cell.classes = [{ ...makeClass('audio', 'batch'), priority: 10 }, { ...makeClass('ledger', 'gang'), priority: 50, preempts: 'checkpoint' }]
  await submit(cell, makeJob('low', 'batch', 'audio', Array<string>(4).fill('run 1000')))
  await cell.clock.advance(500)
  await submit(cell, makeJob('high', 'gang', 'ledger', ['run 300', 'run 300']))
  await cell.clock.advance(1000)
  expect(taskStates(cell, 'high')).toEqual('done,done')
  await cell.clock.advance(3000)
  expect(taskStates(cell, 'low')).toEqual('done,done,done,done')
  const worked = cell.workers.runs.filter(run => run.task.startsWith('low')).reduce((sum, run) => sum + (run.until ?? 0) - run.from, 0)
  expect(cell.workers.runs.length).toEqual(8)
  expect(Math.round(worked)).toEqual(4000)
  expect(findViolations(cell)).toEqual([])
})

test('a class that may not preempt waits', async () => {
  const cell = new Cell({ workers: 1 })
  cell.classes = [{ ...makeClass('audio', 'batch'), priority: 10 }, { ...makeClass('ledger', 'gang'), priority: 50 }]
  await submit(cell, makeJob('low', 'batch', 'audio', Array<string>(4).fill('run 2000')))
  await cell.clock.advance(500)
  await submit(cell, makeJob('high', 'gang', 'ledger', ['run 300']))
  await cell.clock.advance(1000)
  expect(taskStates(cell, 'high')).toEqual('pending')
  expect(cell.workers.runs.length).toEqual(4)
})

test('a run that exceeds the bound of its class is stopped, and its task fails after the last attempt', async () => {
  const cell = new Cell()
  cell.classes = [{ ...makeClass('audio', 'batch'), bound: 300 }]
  await submit(cell, makeJob('b', 'batch', 'audio', ['serve', 'run 100']))
  await cell.clock.advance(6000)
  expect(taskStates(cell, 'b')).toEqual('failed,done')
  expect(cell.workers.runs.filter(run => run.task === 'b/00000').every(run => run.until! - run.from <= 600)).toEqual(true)
})

test('a task that finds no capacity within the patience of its class fails without a run', async () => {
  const cell = new Cell({ workers: 1 })
  cell.classes = [{ ...makeClass('audio', 'batch'), patience: 1000 }]
  await submit(cell, makeJob('a', 'batch', 'audio', Array<string>(4).fill('run 3000')))
  await submit(cell, makeJob('b', 'batch', 'audio', ['run 10']))
  await cell.clock.advance(2000)
  expect(taskStates(cell, 'b')).toEqual('failed')
  expect(cell.workers.runs.length).toEqual(4)
})

test('tasks that no longer fit are parked and run once the cell has grown', async () => {
  const cell = new Cell({ workers: 2 })
  cell.addWorker('big', { slots: 8, cores: 64, memory: 1000, accelerators: 0 })
  cell.assignUnownedWorkers()
  await submit(cell, makeJob('b', 'batch', 'audio', ['run 2000'], { cores: 32 }))
  await cell.clock.advance(500)
  cell.removeWorker('big')
  await cell.clock.advance(3000)
  expect(taskStates(cell, 'b')).toEqual('parked')
  cell.addWorker('bigger', { slots: 8, cores: 64, memory: 1000, accelerators: 0 })
  cell.assignUnownedWorkers()
  await cell.clock.advance(5000)
  expect(taskStates(cell, 'b')).toEqual('done')
})

test('a worker on which every run fails is quarantined while other workers succeed, and is used again later', async () => {
  const cell = new Cell({ nodes: 1, workers: 3, tuning: { quarantineDuration: 4000 } })
  cell.workers.host(cell.instances.get('w1')!).failsOnStart = true
  for (let number = 0; number < 40; number++) {
    cell.clock.schedule(number * 100, () => { cell.nodes[0]!.jobs.submit(makeJob(`b${number}`, 'batch', 'audio', ['run 50', 'run 50'])).catch(() => {}) })
  }
  await cell.clock.advance(6000)
  expect(cell.quarantinedWorkers).toEqual(['w1'])
  expect(readTasks(cell).every(task => task.state === 'done')).toEqual(true)
  const failed = cell.workers.runs.filter(run => run.worker === 'w1').length
  expect(failed).toBeLessThan(12)
  cell.workers.host(cell.instances.get('w1')!).failsOnStart = false
  await cell.clock.advance(4000)
  await submit(cell, makeJob('last', 'batch', 'audio', Array<string>(12).fill('run 500')))
  await cell.clock.advance(1000)
  expect(cell.workers.runs.filter(run => run.worker === 'w1').length).toBeGreaterThan(failed)
})

test('cancellations that arrive together are written in few transactions', async () => {
  const cell = new Cell({ workers: 10 })
  const jobs = Array.from({ length: 40 }, (_, number) => makeJob(`s${number}`, 'service', 'desk', ['serve']))
  await submit(cell, ...jobs)
  await cell.clock.advance(3000)
  expect(readTasks(cell).filter(task => task.state === 'placed').length).toEqual(40)
  const names: string[] = []
  cell.table.onCommit = transaction => { names.push(classifyTransaction(transaction)) }
  const answers = Promise.all(jobs.map(async job => await cell.nodes[0]!.jobs.cancel(job.id)))
  await cell.clock.advance(1500)
  expect((await answers).every(answer => answer.isOk())).toEqual(true)
  expect(readTasks(cell).every(task => task.state === 'cancelled')).toEqual(true)
  expect(names.filter(name => name === 'cancel job').length).toEqual(1)
  expect(names.length).toBeLessThan(30)
  expect(cell.workers.runs.every(run => run.until !== null)).toEqual(true)
})
