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
  const nodes = Array.from({ length: 96 }, (_, index) => ({ node: `frontend-d${index % 6}-${index}`, dataCentre: `d${index % 6}` }))
  const workers = Array.from({ length: 378 }, (_, index) => ({ id: `i-${(index * 7919).toString(16)}`, dataCentre: `d${index % 6}` }))

  test('spreads the workers of a data centre over its nodes', () => {
    const selection = new ExecutorSelection({ clock, executors: () => nodes })
    const counts = new Map<string, number>()
    for (const worker of workers) {
      const node = selection.select(worker)!
      expect(nodes.find(each => each.node === node)!.dataCentre).toEqual(worker.dataCentre)
      counts.set(node, (counts.get(node) ?? 0) + 1)
    }
    // The mean is 3.9; a uniform choice gives a node more than 13 workers once in 10,000 draws.
    expect(Math.max(...counts.values())).toBeLessThan(14)
  })

  test('moves only the workers of a node that leaves', () => {
    let current = nodes
    const selection = new ExecutorSelection({ clock, executors: () => current })
    const before = workers.map(worker => selection.select(worker))
    current = nodes.slice(1)
    const moved = workers.filter((worker, index) => selection.select(worker) !== before[index])
    expect(moved.length).toEqual(before.filter(node => node === nodes[0]!.node).length)
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
