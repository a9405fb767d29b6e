import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import type { Task, WorkerState } from '../../src/runtime/model.js'
import { StartFlow } from '../../src/starts/StartFlow.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const SIZE = { cpu: 1000, memory: 1, accelerators: 0 }
/** Orders to start that may be in flight; as many placements more may be written meanwhile. */
const MAX_ORDERS = 10

async function createSlowRig (): Promise<CellRig> {
  const rig = await createSteadyRig({ workers: 4, cpu: 40_000, limits: { startOrders: MAX_ORDERS }, behaviour: task => ({ duration: 60_000, ending: 'done', size: SIZE, ...(task.includes('.0.1.') ? { gang: 30 } : {}) }) })
  rig.fleet.callTime = 20
  return rig
}

/** @returns number of tasks that are placed and whose orders are not answered */
function countPending (rig: CellRig): number {
  let pending = 0
  for (const { tasks } of rig.decider!.cell.activeDecider!.registry.workers.values()) {
    for (const { phase } of tasks.values()) if (phase === 'placed' || phase === 'ordered') pending++
  }
  return pending
}

/** @returns what flow control reads of a worker, with a number of tasks whose orders are not answered */
function createWorker (ordered: number): WorkerState {
  const tasks = new Map(Array.from({ length: ordered }, (_, index) => [String(index), { phase: 'ordered', isUnanswered: false } as Task]))
  return { tasks, isReachable: true } as WorkerState
}

describe('flow control of starts', () => {
  // Guards against a record with hundreds of runs that have not begun.
  test('bounds the tasks that are placed and not started', async () => {
    const rig = await createSlowRig()
    await rig.submit(rig.nodes[0]!, [{ count: 100, size: SIZE }])
    let most = 0
    for (let time = 0; time < 5000; time += 10) {
      await rig.run(10)
      most = Math.max(most, countPending(rig))
    }
    expect(most).toBeGreaterThan(MAX_ORDERS)
    expect(most).toBeLessThan(2 * MAX_ORDERS + 1)
    expect(rig.fleet.starts.size).toEqual(100)
  })

  // Guards against a gang that waits for ever, since it is wider than the number of starts that may be in flight.
  test('places a gang whole', async () => {
    const rig = await createSlowRig()
    await rig.submit(rig.nodes[0]!, [{ count: 1, size: SIZE }, { count: 30, size: SIZE, gang: true }])
    await rig.run(5000)
    expect(rig.fleet.starts.size).toEqual(31)
    expect(rig.fleet.violations).toEqual([])
  })

  // Guards against a lost rack whose orders, without an answer, leave fewer places for those to other workers.
  test('goes on for the other workers when some are lost', () => {
    const clock = new FakeClock({ start: 1000 })
    const flow = new StartFlow({ clock, most: 512 })
    const lost = createWorker(20)
    const other = createWorker(0)
    const { left } = flow.startRound([other])
    expect(flow.startRound([lost, other]).left).toEqual(left - 20)
    lost.isReachable = false
    expect(flow.startRound([lost, other]).left).toEqual(left)
    for (let order = 0; order < 20; order++) {
      flow.noteOutcome(lost, clock.now(), false)
      for (let answer = 0; answer < 3; answer++) flow.noteOutcome(other, clock.now(), true)
      clock.tick(10)
    }
    expect(flow.startRound([other]).left).toEqual(left)
    expect(flow.startRound([other]).leftOf(lost)).toBeLessThan(flow.startRound([other]).leftOf(other))
  })

  // Guards against a window that stays as large as it is while no order is answered any more.
  test('shrinks for all workers when most orders get no answer', () => {
    const clock = new FakeClock({ start: 1000 })
    const flow = new StartFlow({ clock, most: 512 })
    const before = flow.size
    for (let order = 0; order < 20; order++) {
      flow.noteOutcome(createWorker(0), clock.now(), false)
      clock.tick(10)
    }
    expect(flow.size).toBeLessThan(before / 2)
  })

  // Guards against urgent work that waits behind a queue of orders for other work.
  test('lets urgent work go before other work that has room', async () => {
    const rig = await createSteadyRig({ workers: 4, cpu: 400_000, limits: { startOrders: MAX_ORDERS }, others: [{ name: 'later', priority: 2 }], behaviour: () => ({ duration: 60_000, ending: 'done', size: SIZE }) })
    rig.fleet.callTime = 20
    await rig.submit(rig.nodes[0]!, [{ count: 500, size: SIZE }], 'later')
    await rig.run(1000)
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 1, size: SIZE }])
    await rig.run(1500)
    expect(rig.fleet.starts.has(`${id}.0.0.0`)).toEqual(true)
    expect(rig.fleet.starts.size).toBeLessThan(300)
  })
})
