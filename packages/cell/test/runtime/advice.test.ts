import { describe, test } from 'node:test'
import { expect } from 'earl'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

const SHORT = { base: 8, perWorker: 0, validity: 1500 }
const MIDDLE = { base: 80, perWorker: 0, validity: 1500 }
const LONG = { base: 800, perWorker: 0, validity: 1500 }

describe('the advice scheduler', () => {
  test('gives a node a second call only when the first is about to be answered', () => {
    const scheduler = new AdviceScheduler()
    scheduler.callSent('a', 80, 0)
    expect(scheduler.startRound(['a'], 10).assign(MIDDLE, 1)).toEqual(undefined)
    expect(scheduler.startRound(['a'], 70).assign(MIDDLE, 1)).toEqual({ node: 'a', cost: 80 })
  })

  test('gives a node as many calls as it can complete before the next round', () => {
    const round = new AdviceScheduler().startRound(['a'], 0, 60)
    const taken = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].filter(() => round.assign(SHORT, 1) !== undefined)
    expect(taken.length).toEqual(8)
  })

  test('gives long calls only to some of the nodes', () => {
    const round = new AdviceScheduler().startRound(['a', 'b', 'c', 'd', 'e'], 0)
    const taken = [1, 2, 3, 4, 5].map(() => round.assign(LONG, 1)?.node)
    expect(taken).toEqual(['a', 'b', 'c', undefined, undefined])
    expect(round.assign(SHORT, 1)?.node).toEqual('d')
  })

  test('gives no call to a node whose last call is overdue', () => {
    const scheduler = new AdviceScheduler()
    scheduler.callSent('a', 80, 0)
    expect(scheduler.startRound(['a'], 150).canAssign(SHORT)).toEqual(false)
    scheduler.callEnded('a', 80, 160)
    expect(scheduler.startRound(['a'], 160).canAssign(SHORT)).toEqual(true)
  })

  test('avoids a node whose call has failed, for longer after each failure, until it gets an answer', () => {
    const scheduler = new AdviceScheduler()
    const nodeAt = (now: number): string | undefined => scheduler.startRound(['a', 'b'], now).assign(LONG, 1)?.node
    expect(nodeAt(0)).toEqual('a')
    scheduler.callFailed('a', 0)
    expect([nodeAt(1999), nodeAt(2000)]).toEqual(['b', 'a'])
    scheduler.callFailed('a', 2000)
    expect([nodeAt(5999), nodeAt(6000)]).toEqual(['b', 'a'])
    scheduler.callAnswered('a', 6100)
    scheduler.callFailed('a', 6200)
    expect([nodeAt(8199), nodeAt(8200)]).toEqual(['b', 'a'])
  })

  test('uses all nodes again after the first answer if the calls of all had failed', () => {
    const scheduler = new AdviceScheduler()
    for (const node of ['a', 'b', 'c']) {
      scheduler.callSent(node, 80, 0)
      scheduler.callEnded(node, 80, 10)
      scheduler.callFailed(node, 10)
    }
    const round = scheduler.startRound(['a', 'b', 'c'], 20)
    expect(round.countAvailable(MIDDLE, 1)).toEqual(3)
    scheduler.callAnswered('b', 100)
    expect(scheduler.startRound(['a', 'b', 'c'], 110).countAvailable(MIDDLE, 1)).toEqual(3)
  })

  test('distributes calls evenly over the nodes when answers take longer than expected', () => {
    const scheduler = new AdviceScheduler()
    const nodes = ['a', 'b', 'c', 'd']
    const used = new Map<string, number>()
    const due: Array<{ at: number, node: string, cost: number }> = []
    for (let now = 0; now < 4000; now++) {
      for (const call of due.filter(each => each.at === now)) scheduler.callEnded(call.node, call.cost, now)
      const found = scheduler.startRound(nodes, now).assign(MIDDLE, 1)
      if (found === undefined) continue
      scheduler.callSent(found.node, found.cost, now)
      used.set(found.node, (used.get(found.node) ?? 0) + 1)
      due.push({ at: now + 80 + used.size * 5, ...found })
    }
    const counts = [...used.values()]
    expect(counts.length).toEqual(4)
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThan(10)
  })
})

// Guards against urgent jobs waiting behind a backlog of calls for advice. After a takeover or at peak load many steps have no tickets,
// while urgent short jobs are submitted.
describe('a backlog of steps that wait for advice', () => {
  test('is overtaken by urgent jobs that are submitted later', async () => {
    const rig = await createSteadyRig({
      workers: 8,
      cpu: 64_000,
      route: { priority: 2, advice: MIDDLE },
      others: [{ name: 'urgent', priority: 0, advice: SHORT }],
      advice: step => step.startsWith('0000000000000') && Number.parseInt(step.slice(0, 16), 16) > 60 ? 8 : 80,
      behaviour: () => ({ duration: 200, ending: 'done', size: { cpu: 100, memory: 1, accelerators: 0 } })
    })
    const small = { size: { cpu: 100, memory: 1, accelerators: 0 } }
    const submissions: Array<Promise<unknown>> = []
    for (let index = 0; index < 60; index++) {
      const id = (index + 1).toString(16).padStart(16, '0')
      submissions.push(rig.nodes[0]!.cell.gateway.submit({ id, route: 'r', spec: 'x', steps: [stepOf({ ...small, estimate: 200 })], acceptedAt: 1 }, rig.clock.now() + 2000))
    }
    await rig.run(100)
    const waits: number[] = []
    for (let index = 0; index < 5; index++) {
      const id = (61 + index).toString(16).padStart(16, '0')
      const since = rig.clock.now()
      submissions.push(rig.nodes[1]!.cell.gateway.submit({ id, route: 'urgent', spec: 'x', steps: [stepOf({ ...small, estimate: 200 })], acceptedAt: 1 }, since + 2000))
      await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`))
      waits.push(rig.fleet.firstStart.get(`${id}.0.0.0`)! - since)
    }
    expect(Math.max(...waits)).toBeLessThan(200)
    await Promise.all(submissions)
  })
})

// Guards against gangs that need several calls for advice one after the other, whose first tickets expire before the last ones arrive.
describe('a gang that is wider than the workers of one call', () => {
  const terms = { base: 637, perWorker: 9.1, validity: 1500 }
  const size = { cpu: 4500, memory: 100, accelerators: 0 }

  async function firstStart (nodes: number): Promise<number> {
    const rig = await createSteadyRig({
      nodes,
      workers: 120,
      cpu: 16_000,
      route: { priority: 1, advice: terms },
      advice: (_step, named) => terms.base + named * terms.perWorker,
      allows: worker => Number(worker.slice(1)) % 4 === 0,
      behaviour: () => ({ duration: 4000, ending: 'done', size })
    })
    const since = rig.clock.now()
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 60, gang: true, size, estimate: 4000 }])
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`))
    expect(rig.fleet.violations).toEqual([])
    return rig.fleet.firstStart.get(`${id}.0.0.0`)! - since
  }

  test('starts after the duration of one short call if nodes are idle', async () => {
    expect(await firstStart(40)).toBeLessThan(terms.base + 24 * terms.perWorker + 100)
  })

  test('asks with a few long calls if there are few nodes', async () => {
    expect(await firstStart(5)).toBeLessThan(4 * (terms.base + 60 * terms.perWorker))
  })
})
