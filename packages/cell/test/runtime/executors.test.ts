import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { ExecutorSelection } from '../../src/runtime/ExecutorSelection.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }

interface BusyRig {
  rig: CellRig
  decider: RigNode
  followers: RigNode[]
  ids: string[]
}

/** @returns a rig in which many short tasks run on more workers than there are nodes */
async function createBusyRig (): Promise<BusyRig> {
  const rig = await createSteadyRig({ nodes: 5, workers: 20, behaviour: () => ({ duration: 200, ending: 'done', size: SIZE }) })
  const decider = rig.decider!
  const followers = rig.nodes.filter(node => node !== decider)
  const ids: string[] = []
  for (let index = 0; index < 10; index++) ids.push((await rig.submit(followers[index % 4]!, [{ count: 30 }, { after: [0], count: 20 }])).id)
  return { rig, decider, followers, ids }
}

async function expectCompletion ({ rig, ids }: BusyRig, duration = 15_000): Promise<void> {
  await rig.run(duration)
  expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
  expect(rig.fleet.violations).toEqual([])
}

describe('calls to workers', () => {
  // Guards against a decider whose processor and link limit the number of workers, because it sends every order and poll itself.
  test('are made by the followers and not by the decider', async () => {
    const busy = await createBusyRig()
    const pollsBefore = busy.decider.workers.polls
    await expectCompletion(busy)
    expect(busy.decider.workers.polls - pollsBefore).toEqual(0)
    for (const follower of busy.followers) expect(follower.workers.polls).toBeGreaterThan(20)
  })

  // Guards against a decider whose processor is spent on messages: the orders of one round to one executor travel together.
  test('of one round are sent in one message to each executor', async () => {
    const rig = await createSteadyRig({ nodes: 5, workers: 20, behaviour: () => ({ duration: 5000, ending: 'done', size: SIZE }) })
    const decider = rig.decider!
    const { id } = await rig.submit(rig.nodes.find(node => node !== decider)!, [{ count: 80 }])
    const sentBefore = decider.endpoint.sentMessages
    await rig.until(() => [...rig.fleet.workers.values()].reduce((sum, worker) => sum + worker.running.size, 0) === 80, 100)
    // Each of the four executors gets the 80 orders in one message, and the heartbeats go on.
    expect(decider.endpoint.sentMessages - sentBefore).toBeLessThan(20)
    await rig.run(8000)
    expect(await rig.phase(decider, id)).toEqual('completed')
  })

  test('are made by the decider while it has no followers', async () => {
    const rig = await createSteadyRig({ nodes: 1 })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 5 }])
    await rig.run(1500)
    expect(await rig.phase(rig.nodes[0]!, id)).toEqual('completed')
  })

  for (const loss of ['kill', 'powerOff'] as const) {
    test(`are made by other nodes after the loss of two executors by ${loss}`, async () => {
      const busy = await createBusyRig()
      for (const follower of busy.followers.slice(0, 2)) busy.rig[loss](follower)
      await expectCompletion(busy)
    })
  }

  test('of an executor that freezes and thaws have no effect twice', async () => {
    const busy = await createBusyRig()
    for (const follower of busy.followers.slice(0, 2)) follower.clock.freeze()
    await busy.rig.run(3000)
    for (const follower of busy.followers.slice(0, 2)) follower.clock.thaw()
    await expectCompletion(busy)
  })

  test('of an executor that is cut off from its workers are made by the decider', async () => {
    const busy = await createBusyRig()
    for (const follower of busy.followers) for (const worker of busy.rig.fleet.workers.keys()) follower.workers.unreachable.add(worker)
    await expectCompletion(busy, 25_000)
    expect(busy.decider.workers.polls).toBeGreaterThan(20)
  })

  test('of an executor that is cut off from the decider but not from its workers have no effect twice', async () => {
    const busy = await createBusyRig()
    for (const follower of busy.followers.slice(0, 3)) follower.endpoint.isSilenced = true
    await busy.rig.run(3000)
    for (const follower of busy.followers.slice(0, 3)) follower.endpoint.isSilenced = false
    await expectCompletion(busy)
  })

  test('that are in flight during a takeover have no effect twice', async () => {
    const busy = await createBusyRig()
    busy.rig.kill(busy.decider)
    await busy.rig.run(300)
    const second = busy.rig.decider!
    second.clock.freeze()
    await busy.rig.run(2500)
    second.clock.thaw()
    await expectCompletion(busy)
  })
})

describe('the selection of executors', () => {
  const clock = new FakeClock({ start: 0 })
  // Of the 16 nodes of each data centre, the last four are strong.
  const nodes = Array.from({ length: 96 }, (_, index) => ({ node: `frontend-d${index % 6}-${index}`, dataCentre: `d${index % 6}`, strength: index < 72 ? 0.3 : 0.7 }))
  const strongNodes = nodes.filter(({ strength }) => strength > 0.5)
  const workers = Array.from({ length: 378 }, (_, index) => ({ id: `i-${(index * 7919).toString(16)}`, dataCentre: `d${index % 6}` }))

  // Guards against a message for each order: a decider whose orders go to all 96 nodes can't send several of them together.
  test('spreads the workers of a data centre over its four strongest nodes', () => {
    const selection = new ExecutorSelection({ clock, executors: () => nodes })
    const counts = new Map<string, number>()
    for (const worker of workers) {
      const node = selection.select(worker)!
      expect(strongNodes.find(each => each.node === node)?.dataCentre).toEqual(worker.dataCentre)
      counts.set(node, (counts.get(node) ?? 0) + 1)
    }
    expect(counts.size).toEqual(strongNodes.length)
    // The mean is 15.8; a uniform choice gives a node more than 29 workers less than once in 10,000 draws.
    expect(Math.max(...counts.values())).toBeLessThan(30)
  })

  test('moves only the workers of a node that leaves', () => {
    let current = nodes
    const selection = new ExecutorSelection({ clock, executors: () => current })
    const before = workers.map(worker => selection.select(worker))
    const [left] = strongNodes
    current = nodes.filter(node => node !== left)
    const moved = workers.filter((worker, index) => selection.select(worker) !== before[index])
    // The next strongest node takes its place and is given a quarter of the data centre's workers, most of them from the node that left.
    expect(moved.length).toBeLessThan(2 * before.filter(node => node === left!.node).length)
    expect(moved.every(worker => worker.dataCentre === left!.dataCentre)).toEqual(true)
  })

  test('gives no calls to a node that left one unanswered until some time later', async () => {
    const selection = new ExecutorSelection({ clock, executors: () => nodes })
    const worker = workers[0]!
    const node = selection.select(worker)!
    selection.suspend(node)
    expect(selection.select(worker)).not.toEqual(node)
    await clock.advance(3000)
    expect(selection.select(worker)).toEqual(node)
  })
})
