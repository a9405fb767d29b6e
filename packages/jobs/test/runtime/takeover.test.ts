import { test } from 'node:test'
import { expect } from 'earl'
import { rankNodes } from '@rattanstep/core'
import { Cell } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'

/**
 * Guards against tasks that run twice or end under the wrong owner. This could happen when a worker moves to another node
 * while its former owner is paused or a command or transaction of it is delayed, or when the worker cannot be reached.
 */

interface Fixture {
  cell: Cell
  owner: Cell['nodes'][number]
  other: Cell['nodes'][number]
}

/** Starts a cell of two nodes and two workers. A service with one task runs on a worker of the first node. */
async function startService (): Promise<Fixture> {
  const cell = new Cell({ nodes: 2, workers: 2 })
  const [owner, other] = cell.nodes as [Fixture['owner'], Fixture['other']]
  for (const worker of cell.instances.keys()) cell.moveWorker(worker, owner.id, { notifyOwner: true })
  await cell.clock.advance(200)
  await Promise.all([owner.jobs.submit({ id: 's', kind: 'service', class: 'desk', tasks: [{ command: 'serve' }] }), cell.clock.advance(600)])
  return { cell, owner, other }
}

function workerOfFirstTask (cell: Cell): string {
  return readTasks(cell)[0]!.worker
}

test('a former owner that was paused while it wrote the loss of a task does not end the task under the new owner', async () => {
  const { cell, owner, other } = await startService()
  const worker = cell.instances.get(workerOfFirstTask(cell))!
  cell.workers.faults(worker).unreachable = true
  owner.gate.inject = (step, phase) => {
    if (step === 'pending' && phase === 'before') owner.gate.pause()
    return null
  }
  await cell.clock.advance(2000)
  expect(owner.gate.isBlocking).toEqual(true)
  cell.workers.kill(worker)
  cell.workers.faults(worker).unreachable = false
  for (const name of cell.instances.keys()) cell.moveWorker(name, other.id, { notifyOwner: false })
  await cell.clock.advance(1000)
  const { fence } = readTasks(cell)[0]!
  owner.gate.resume()
  await cell.clock.advance(3000)
  expect(findViolations(cell)).toEqual([])
  expect(readTasks(cell)[0]!.fence).toEqual(fence)
  expect(cell.workers.runs.filter(run => run.until === null).length).toEqual(1)
})

test('a new owner that cannot reach the worker waits until the leases of the former owner have expired', async () => {
  const { cell, other } = await startService()
  const name = workerOfFirstTask(cell)
  other.unreachableWorkers.add(name)
  for (const worker of cell.instances.keys()) cell.moveWorker(worker, other.id, { notifyOwner: false })
  await cell.clock.advance(5000)
  expect(findViolations(cell)).toEqual([])
  expect(readTasks(cell).map(task => task.worker === name)).toEqual([false])
})

test('a command that a worker reads long after it was sent has no effect', async () => {
  const { cell, other } = await startService()
  const name = workerOfFirstTask(cell)
  const worker = cell.instances.get(name)!
  const inner = cell.workers.renew.bind(cell.workers)
  cell.workers.renew = async (instance, leases) => {
    cell.clock.schedule(900, () => { inner(instance, leases).catch(() => {}) })
    return await inner(instance, leases)
  }
  await cell.clock.advance(950)
  other.unreachableWorkers.add(name)
  for (const entry of cell.instances.keys()) cell.moveWorker(entry, other.id, { notifyOwner: false })
  await cell.clock.advance(4000)
  expect(worker.id).toEqual(name)
  expect(findViolations(cell)).toEqual([])
})

test('a placement that is written after its hold has expired and its capacity was reused is rejected', async () => {
  const { cell, owner, other } = await startService()
  const [first, second] = [findJobDrivenBy(cell, other.id), findJobDrivenBy(cell, owner.id)]
  other.gate.inject = (step, phase) => {
    if (step !== 'placed' || phase !== 'before') return null
    cell.clock.schedule(1, () => { other.gate.pause() })
    return 'late'
  }
  const large = { command: 'run 1500', resources: { slots: 4 } }
  await Promise.all([owner.jobs.submit({ id: first, kind: 'batch', class: 'audio', tasks: [large] }), cell.clock.advance(600)])
  expect(other.gate.isBlocking).toEqual(true)
  await Promise.all([owner.jobs.submit({ id: second, kind: 'batch', class: 'audio', tasks: [large] }), cell.clock.advance(150)])
  const stateOf = (job: string): string => readTasks(cell).find(task => task.job === job)!.state
  expect([stateOf(first), stateOf(second)]).toEqual(['pending', 'placed'])
  await cell.clock.advance(600)
  expect(findViolations(cell)).toEqual([])
  other.gate.inject = () => null
  other.gate.resume()
  await cell.clock.advance(8000)
  expect(findViolations(cell)).toEqual([])
  expect([stateOf(first), stateOf(second)]).toEqual(['done', 'done'])
})

test('the capacity of a placement whose answers were all lost is not reused while the placement may yet be written', async () => {
  const { cell, owner, other } = await startService()
  const [first, second] = [findJobDrivenBy(cell, other.id), findJobDrivenBy(cell, owner.id)]
  let sent = 0
  other.gate.inject = (step, phase) => {
    if (step !== 'placed' || phase !== 'before') return null
    if (++sent === 3) cell.clock.schedule(5, () => { other.gate.pause() })
    return 'late'
  }
  const deliver = cell.deliver.bind(cell)
  cell.deliver = (from, to, message) => {
    const isRepeatedRequest = sent === 3 && from === other.id && message.kind === 'job' && message.operation === 'hold'
    if (!isRepeatedRequest) deliver(from, to, message)
  }
  const large = { command: 'run 1500', resources: { slots: 4 } }
  const accepted = owner.jobs.submit({ id: first, kind: 'batch', class: 'audio', tasks: [large] })
  for (let waited = 0; waited < 1000 && !other.gate.isBlocking; waited += 10) await cell.clock.advance(10)
  expect([sent, (await accepted).isOk()]).toEqual([3, true])
  const rival = owner.jobs.submit({ id: second, kind: 'batch', class: 'audio', tasks: [large] })
  for (let waited = 0; waited < 1500; waited += 50) {
    await cell.clock.advance(50)
    expect(findViolations(cell)).toEqual([])
  }
  expect((await rival).isOk()).toEqual(true)
  cell.deliver = deliver
  other.gate.inject = () => null
  other.gate.resume()
  await cell.clock.advance(8000)
  expect(findViolations(cell)).toEqual([])
  expect(readTasks(cell).map(task => task.state).sort()).toEqual(['done', 'done', 'placed'])
})

function findJobDrivenBy (cell: Cell, node: string): string {
  const names = Array.from({ length: 50 }, (_, number) => `job-${number}`)
  return names.find(name => rankNodes(name, [...cell.nodesById.keys()])[0] === node)!
}

test('an owner that is paused until its workers have moved to another node sends no commands, even to workers that report no clock', async () => {
  const { cell, owner, other } = await startService()
  const report = cell.workers.report.bind(cell.workers)
  cell.workers.report = async worker => (await report(worker)).map(({ moment: _, ...rest }) => rest)
  await cell.clock.advance(300)
  owner.gate.inject = (step, phase) => {
    if (step === 'report' && phase === 'after') owner.gate.pause()
    return null
  }
  await cell.clock.advance(100)
  owner.gate.inject = () => null
  other.unreachableWorkers.add(workerOfFirstTask(cell))
  for (const worker of cell.instances.keys()) cell.moveWorker(worker, other.id, { notifyOwner: false })
  await cell.clock.advance(850)
  owner.gate.resume()
  await cell.clock.advance(3000)
  expect(findViolations(cell)).toEqual([])
})

test('tasks of a removed worker are placed again once their leases have expired', async () => {
  const { cell } = await startService()
  const name = workerOfFirstTask(cell)
  cell.removeWorker(name)
  await cell.clock.advance(5000)
  expect(findViolations(cell)).toEqual([])
  expect(readTasks(cell).map(task => [task.state, task.worker !== name])).toEqual([['placed', true]])
})

test('tasks of a leaving worker write a checkpoint and resume on another worker', async () => {
  const { cell, owner } = await startService()
  await Promise.all([owner.jobs.submit({ id: 'b', kind: 'batch', class: 'audio', tasks: [{ command: 'run 2000' }] }), cell.clock.advance(1000)])
  const { worker } = readTasks(cell)[0]!
  cell.instances.set(worker, { ...cell.instances.get(worker)!, state: 'leaving' })
  await cell.clock.advance(3000)
  const runs = cell.workers.runs.filter(run => run.task.startsWith('b/'))
  const worked = runs.map(run => (run.until ?? 0) - run.from)
  expect(readTasks(cell)[0]!.state).toEqual('done')
  expect(runs.map(run => run.worker === worker)).toEqual([true, false])
  expect(Math.round(worked[0]! + worked[1]!) <= 2100).toEqual(true)
})
