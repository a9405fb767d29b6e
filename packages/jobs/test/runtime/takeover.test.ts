import { test } from 'node:test'
import { expect } from 'earl'
import { rankNodes } from '@rattanstep/core'
import { Cell } from './Cell.js'
import { findBreaches, readTasks } from './invariants.js'

interface Scene {
  cell: Cell
  owner: Cell['nodes'][number]
  other: Cell['nodes'][number]
}

/** Two nodes and two workers; a service with one task runs on a worker of the first node. */
async function prepare (): Promise<Scene> {
  const cell = new Cell({ nodes: 2, workers: 2 })
  const [owner, other] = cell.nodes as [Scene['owner'], Scene['other']]
  for (const worker of cell.instances.keys()) cell.move(worker, owner.id, { tell: true })
  await cell.clock.advance(200)
  await Promise.all([owner.jobs.submit({ id: 's', kind: 'service', class: 'desk', tasks: [{ command: 'serve' }] }), cell.clock.advance(600)])
  return { cell, owner, other }
}

function placedOn (cell: Cell): string {
  return readTasks(cell)[0]!.worker
}

test('a former owner that was paused as it gave a task up does not end it under the new owner', async () => {
  const { cell, owner, other } = await prepare()
  const worker = cell.instances.get(placedOn(cell))!
  cell.workers.faults(worker).unreachable = true
  owner.gate.inject = (step, moment) => {
    if (step === 'pending' && moment === 'before') owner.gate.shut()
    return null
  }
  await cell.clock.advance(2000)
  expect(owner.gate.isShut).toEqual(true)
  cell.workers.kill(worker)
  cell.workers.faults(worker).unreachable = false
  for (const name of cell.instances.keys()) cell.move(name, other.id, { tell: false })
  await cell.clock.advance(1000)
  const { fence } = readTasks(cell)[0]!
  owner.gate.open()
  await cell.clock.advance(3000)
  expect(findBreaches(cell)).toEqual([])
  expect(readTasks(cell)[0]!.fence).toEqual(fence)
  expect(cell.workers.runs.filter(run => run.until === null).length).toEqual(1)
})

test('a new owner that can not reach the worker waits until leases of the former one have run out', async () => {
  const { cell, other } = await prepare()
  const name = placedOn(cell)
  other.cut.add(name)
  for (const worker of cell.instances.keys()) cell.move(worker, other.id, { tell: false })
  await cell.clock.advance(5000)
  expect(findBreaches(cell)).toEqual([])
  expect(readTasks(cell).map(task => task.worker === name)).toEqual([false])
})

test('a command that a hung worker reads long after it was sent has no effect', async () => {
  const { cell, other } = await prepare()
  const name = placedOn(cell)
  const worker = cell.instances.get(name)!
  const inner = cell.workers.renew.bind(cell.workers)
  cell.workers.renew = async (instance, leases) => {
    cell.clock.schedule(900, () => { inner(instance, leases).catch(() => {}) })
    return await inner(instance, leases)
  }
  await cell.clock.advance(950)
  other.cut.add(name)
  for (const entry of cell.instances.keys()) cell.move(entry, other.id, { tell: false })
  await cell.clock.advance(4000)
  expect(worker.id).toEqual(name)
  expect(findBreaches(cell)).toEqual([])
})

test('a placement that takes effect after its hold has run out and its room was given away is refused', async () => {
  const { cell, owner, other } = await prepare()
  const [first, second] = [nameDrivenBy(cell, other.id), nameDrivenBy(cell, owner.id)]
  other.gate.inject = (step, moment) => {
    if (step !== 'placed' || moment !== 'before') return null
    cell.clock.schedule(1, () => { other.gate.shut() })
    return 'late'
  }
  const large = { command: 'run 1500', resources: { slots: 4 } }
  await Promise.all([owner.jobs.submit({ id: first, kind: 'batch', class: 'audio', tasks: [large] }), cell.clock.advance(600)])
  expect(other.gate.isShut).toEqual(true)
  await Promise.all([owner.jobs.submit({ id: second, kind: 'batch', class: 'audio', tasks: [large] }), cell.clock.advance(150)])
  const stateOf = (job: string): string => readTasks(cell).find(task => task.job === job)!.state
  expect([stateOf(first), stateOf(second)]).toEqual(['pending', 'placed'])
  await cell.clock.advance(600)
  expect(findBreaches(cell)).toEqual([])
  other.gate.inject = () => null
  other.gate.open()
  await cell.clock.advance(8000)
  expect(findBreaches(cell)).toEqual([])
  expect([stateOf(first), stateOf(second)]).toEqual(['done', 'done'])
})

test('room of a placement whose answers were all lost is not given away while it may yet take effect', async () => {
  const { cell, owner, other } = await prepare()
  const [first, second] = [nameDrivenBy(cell, other.id), nameDrivenBy(cell, owner.id)]
  let sent = 0
  other.gate.inject = (step, moment) => {
    if (step !== 'placed' || moment !== 'before') return null
    if (++sent === 3) cell.clock.schedule(5, () => { other.gate.shut() })
    return 'late'
  }
  const deliver = cell.deliver.bind(cell)
  cell.deliver = (from, to, message) => {
    const asksAgain = sent === 3 && from === other.id && message.kind === 'job' && message.operation === 'hold'
    if (!asksAgain) deliver(from, to, message)
  }
  const large = { command: 'run 1500', resources: { slots: 4 } }
  const accepted = owner.jobs.submit({ id: first, kind: 'batch', class: 'audio', tasks: [large] })
  for (let waited = 0; waited < 1000 && !other.gate.isShut; waited += 10) await cell.clock.advance(10)
  expect([sent, (await accepted).isOk()]).toEqual([3, true])
  const rival = owner.jobs.submit({ id: second, kind: 'batch', class: 'audio', tasks: [large] })
  for (let waited = 0; waited < 1500; waited += 50) {
    await cell.clock.advance(50)
    expect(findBreaches(cell)).toEqual([])
  }
  expect((await rival).isOk()).toEqual(true)
  cell.deliver = deliver
  other.gate.inject = () => null
  other.gate.open()
  await cell.clock.advance(8000)
  expect(findBreaches(cell)).toEqual([])
  expect(readTasks(cell).map(task => task.state).sort()).toEqual(['done', 'done', 'placed'])
})

function nameDrivenBy (cell: Cell, node: string): string {
  const names = Array.from({ length: 50 }, (_, number) => `job-${number}`)
  return names.find(name => rankNodes(name, [...cell.members.keys()])[0] === node)!
}

test('an owner that is paused until its ownership has passed on sends nothing, also to workers without a clock', async () => {
  const { cell, owner, other } = await prepare()
  const report = cell.workers.report.bind(cell.workers)
  cell.workers.report = async worker => (await report(worker)).map(({ moment: _, ...rest }) => rest)
  await cell.clock.advance(300)
  owner.gate.inject = (step, moment) => {
    if (step === 'report' && moment === 'after') owner.gate.shut()
    return null
  }
  await cell.clock.advance(100)
  owner.gate.inject = () => null
  other.cut.add(placedOn(cell))
  for (const worker of cell.instances.keys()) cell.move(worker, other.id, { tell: false })
  await cell.clock.advance(850)
  owner.gate.open()
  await cell.clock.advance(3000)
  expect(findBreaches(cell)).toEqual([])
})

test('tasks of a worker that has vanished are placed again once their leases have run out', async () => {
  const { cell } = await prepare()
  const name = placedOn(cell)
  cell.removeWorker(name)
  await cell.clock.advance(5000)
  expect(findBreaches(cell)).toEqual([])
  expect(readTasks(cell).map(task => [task.state, task.worker !== name])).toEqual([['placed', true]])
})

test('tasks of a leaving worker write a checkpoint and go on elsewhere', async () => {
  const { cell, owner } = await prepare()
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
