import { describe, test } from 'node:test'
import { expect } from 'earl'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

const SHORT = { base: 8, perWorker: 0, validity: 1500 }
const MIDDLE = { base: 80, perWorker: 0, validity: 1500 }
const LONG = { base: 800, perWorker: 0, validity: 1500 }

describe('the advice desk', () => {
  test('gives a node no second call before the first is nearly answered', () => {
    const desk = new AdviceScheduler()
    desk.callSent('a', 80, 0)
    expect(desk.startRound(['a'], 10).assign(MIDDLE, 1)).toEqual(undefined)
    expect(desk.startRound(['a'], 70).assign(MIDDLE, 1)).toEqual({ node: 'a', cost: 80 })
  })

  test('gives a node as much as it can work off before the next round', () => {
    const askers = new AdviceScheduler().startRound(['a'], 0, 60)
    const taken = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].filter(() => askers.assign(SHORT, 1) !== undefined)
    expect(taken.length).toEqual(8)
  })

  test('keeps long calls off a part of the nodes', () => {
    const askers = new AdviceScheduler().startRound(['a', 'b', 'c', 'd', 'e'], 0)
    const taken = [1, 2, 3, 4, 5].map(() => askers.assign(LONG, 1)?.node)
    expect(taken).toEqual(['a', 'b', 'c', undefined, undefined])
    expect(askers.assign(SHORT, 1)?.node).toEqual('d')
  })

  test('leaves a node alone whose call is overdue', () => {
    const desk = new AdviceScheduler()
    desk.callSent('a', 80, 0)
    expect(desk.startRound(['a'], 150).canAssign(SHORT)).toEqual(false)
    desk.callEnded('a', 80, 160)
    expect(desk.startRound(['a'], 160).canAssign(SHORT)).toEqual(true)
  })

  test('uses every node alike, however often answers come later than thought', () => {
    const desk = new AdviceScheduler()
    const nodes = ['a', 'b', 'c', 'd']
    const used = new Map<string, number>()
    const due: Array<{ at: number, node: string, cost: number }> = []
    for (let now = 0; now < 4000; now++) {
      for (const call of due.filter(each => each.at === now)) desk.callEnded(call.node, call.cost, now)
      const found = desk.startRound(nodes, now).assign(MIDDLE, 1)
      if (found === undefined) continue
      desk.callSent(found.node, found.cost, now)
      used.set(found.node, (used.get(found.node) ?? 0) + 1)
      due.push({ at: now + 80 + used.size * 5, ...found })
    }
    const counts = [...used.values()]
    expect(counts.length).toEqual(4)
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThan(10)
  })
})

// The load: a crowd of steps has no tickets, as after a takeover or at a crest, while urgent short work comes in.
describe('a crowd of steps that wait for advice', () => {
  test('lets urgent work pass that comes after it', async () => {
    const rig = await createSteadyRig({
      workers: 8,
      cpu: 64_000,
      route: { priority: 2, advice: MIDDLE },
      others: [{ name: 'urgent', priority: 0, advice: SHORT }],
      advice: step => step.startsWith('0000000000000') && Number.parseInt(step.slice(0, 16), 16) > 60 ? 8 : 80,
      behaviour: () => ({ duration: 200, how: 'done', size: { cpu: 100, memory: 1, accelerators: 0 } })
    })
    const small = { size: { cpu: 100, memory: 1, accelerators: 0 } }
    const crowd: Array<Promise<unknown>> = []
    for (let index = 0; index < 60; index++) {
      const id = (index + 1).toString(16).padStart(16, '0')
      crowd.push(rig.nodes[0]!.cell.gateway.submit({ id, route: 'r', spec: 'x', steps: [stepOf({ ...small, estimate: 200 })], acceptedAt: 1 }, rig.clock.now() + 2000))
    }
    await rig.run(100)
    const waits: number[] = []
    for (let index = 0; index < 5; index++) {
      const id = (61 + index).toString(16).padStart(16, '0')
      const since = rig.clock.now()
      crowd.push(rig.nodes[1]!.cell.gateway.submit({ id, route: 'urgent', spec: 'x', steps: [stepOf({ ...small, estimate: 200 })], acceptedAt: 1 }, since + 2000))
      await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`))
      waits.push(rig.fleet.firstStart.get(`${id}.0.0.0`)! - since)
    }
    expect(Math.max(...waits)).toBeLessThan(200)
    await Promise.all(crowd)
  })
})
