import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Step } from '../../src/index.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { RigOptions, CellRig } from '../support/CellRig.js'
import type { StoreCondition } from '../support/FakeStore.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }
/** Time after which a reduced capacity counts for starts, and a margin. */
const SHRUNK_MS = 4600
/** Time in which waiting tasks start once the entry of a worker shows more capacity: the delay of the instance list and a commit. */
const START_MS = 400

function behave (duration: number): RigOptions['behaviour'] {
  return () => ({ duration, ending: 'done', size: SIZE })
}

function countRunning (rig: CellRig, id: string): number {
  return rig.fleet.workers.get(id)!.running.size
}

async function expectCompletion (rig: CellRig, ids: string[], duration = 15_000): Promise<void> {
  await rig.run(duration)
  expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
  expect(rig.fleet.violations).toEqual([])
}

describe('a worker whose capacity shrinks', () => {
  test('gets no further tasks before what runs there has left room', async () => {
    const rig = await createSteadyRig({ workers: 2, behaviour: behave(7000) })
    const first = await rig.submit(rig.nodes[0]!, [{ count: 8, estimate: 7000 }])
    await rig.until(() => countRunning(rig, 'w0') === 4 && countRunning(rig, 'w1') === 4)
    rig.setCapacity('w0', 2000)
    await rig.run(SHRUNK_MS)
    const second = await rig.submit(rig.nodes[0]!, [{ count: 8, estimate: 7000 }])
    await rig.run(4000)
    expect([countRunning(rig, 'w0'), countRunning(rig, 'w1')]).toEqual([2, 4])
    await expectCompletion(rig, [first.id, second.id], 20_000)
  })

  test('is not brought over its capacity by an order that is on its way', async () => {
    const rig = await createSteadyRig({ workers: 1, behaviour: behave(3000) })
    const worker = rig.fleet.workers.get('w0')!
    worker.orderDelay = 3900
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 4, estimate: 3000 }])
    rig.setCapacity('w0', 2000)
    await rig.run(1000)
    worker.orderDelay = 0
    await expectCompletion(rig, [id], 25_000)
  })

  test('gets no tasks while stops are pending that keep its capacity in use', async () => {
    const rig = await createSteadyRig({ workers: 1, behaviour: behave(60_000) })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 4, estimate: 60_000 }])
    await rig.until(() => countRunning(rig, 'w0') === 4)
    rig.setCapacity('w0', 2000)
    await rig.run(SHRUNK_MS)
    rig.fleet.workers.get('w0')!.orderDelay = 2000
    rig.nodes[0]!.cell.gateway.cancel(id, rig.clock.now() + 2000).catch(() => {})
    await rig.submit(rig.nodes[0]!, [{ count: 4, estimate: 60_000 }])
    await rig.run(1000)
    rig.fleet.workers.get('w0')!.orderDelay = 0
    await rig.run(8000)
    expect(countRunning(rig, 'w0')).toEqual(2)
    expect(rig.fleet.violations).toEqual([])
  })

  test('gets no gang that was to start on it', async () => {
    const rig = await createSteadyRig({ workers: 3, behaviour: task => ({ duration: task.startsWith('0000000000000001') ? 8000 : 2000, ending: 'done', size: SIZE }) })
    const first = await rig.submit(rig.nodes[0]!, [{ count: 2, estimate: 8000 }])
    await rig.until(() => rig.fleet.starts.size === 2)
    const gang = await rig.submit(rig.nodes[0]!, [{ count: 12, gang: true, estimate: 2000 }])
    await rig.run(500)
    for (const id of ['w0', 'w1', 'w2']) rig.setCapacity(id, 3000)
    await rig.run(SHRUNK_MS)
    const small = await rig.submit(rig.nodes[0]!, [{ count: 4, estimate: 2000 }])
    await expectCompletion(rig, [first.id, small.id])
    expect(rig.fleet.starts.size).toEqual(6)
    rig.setCapacity('w0', 6000)
    await rig.run(START_MS)
    expect([...rig.fleet.workers.values()].reduce((sum, { running }) => sum + running.size, 0)).toEqual(12)
    await expectCompletion(rig, [gang.id])
  })

  test('is respected by a decider that has just taken over', async () => {
    const rig = await createSteadyRig({ workers: 2, behaviour: behave(9000) })
    const first = await rig.submit(rig.nodes[0]!, [{ count: 8, estimate: 9000 }])
    await rig.until(() => rig.fleet.starts.size === 8)
    rig.setCapacity('w0', 1000)
    await rig.run(SHRUNK_MS)
    const second = await rig.submit(rig.nodes[0]!, [{ count: 10, estimate: 9000 }])
    rig.kill(rig.decider!)
    await expectCompletion(rig, [first.id, second.id], 40_000)
  })

  test('is respected by orders that other nodes carry out, and across takeovers', async () => {
    const rig = await createSteadyRig({ nodes: 5, workers: 20, behaviour: behave(900) })
    const ids: string[] = []
    for (let round = 0; round < 24; round++) {
      ids.push((await rig.submit(rig.nodes.find(node => !node.clock.isDead)!, [{ count: 60, estimate: 900 }, { count: 20, after: [0], estimate: 900 }])).id)
      for (let index = round % 3; index < 20; index += 3) rig.setCapacity(`w${index}`, 1000 * (1 + (index + round) % 4))
      if (round % 8 === 5) rig.kill(rig.decider!)
      await rig.run(700)
    }
    await expectCompletion(rig, ids, 60_000)
  })
})

test('waiting tasks start at once on a worker whose capacity grows again', async () => {
  const rig = await createSteadyRig({ workers: 1, cpu: 2000, behaviour: behave(60_000) })
  await rig.submit(rig.nodes[0]!, [{ count: 8, estimate: 60_000 }])
  await rig.until(() => countRunning(rig, 'w0') === 2)
  rig.setCapacity('w0', 4000)
  await rig.run(START_MS)
  expect(countRunning(rig, 'w0')).toEqual(4)
  expect(rig.fleet.violations).toEqual([])
})

/**
 * Has the commit of the placements of a job's second step get no answer for longer than a change takes to count.
 *
 * @param rig - a rig with one node
 * @param change - what happens meanwhile
 * @param options - `condition`: condition of the store; `step`: the second step
 * @returns the job's id
 */
async function changeDuringCommit (rig: CellRig, change: () => void, { condition, step }: { condition: StoreCondition, step: Partial<Step> }): Promise<string> {
  const node = rig.nodes[0]!
  const { id } = await rig.submit(node, [{ estimate: 300 }, { count: 4, after: [0], estimate: 300, ...step }])
  await rig.until(() => rig.fleet.starts.size === 1)
  await rig.run(100)
  node.store.condition = condition
  await rig.until(() => rig.fleet.done.size === 1)
  await rig.run(100)
  expect(findPlacements(rig).length).toEqual(5)
  change()
  await rig.run(SHRUNK_MS)
  node.store.condition = 'normal'
  return id
}

/** @returns ids of the workers on which the only node has placed tasks, in order */
function findPlacements (rig: CellRig): string[] {
  return rig.nodes[0]!.log.lines.filter(({ event }) => event.name === 'run-placed').map(({ fields }) => fields.worker as string)
}

const CONDITIONS: StoreCondition[] = ['losing-answers', 'silent']

// Guards against orders that rely on what was known before a slow commit: on a worker's capacity, its state, or a ticket.
describe('a placement that waits for a slow commit', () => {
  for (const gang of [false, true]) {
    for (const condition of CONDITIONS) {
      const title = (rest: string): string => `${gang ? 'of a gang ' : ''}${rest} (store: ${condition})`
      const options = { condition, step: { gang } }
      test(title('is dropped if the capacity of the workers has shrunk meanwhile'), async () => {
        const rig = await createSteadyRig({ nodes: 1, workers: 2 })
        const id = await changeDuringCommit(rig, () => { for (const each of ['w0', 'w1']) rig.setCapacity(each, 2000) }, options)
        await expectCompletion(rig, [id])
      })

      for (const change of ['draining', 'gone'] as const) {
        // An entry that disappears while the store is out of reach may return, so that its worker remains usable for a while.
        if (change === 'gone' && condition === 'silent') continue
        test(title(`is dropped if the worker is ${change} by then`), async () => {
          const rig = await createSteadyRig({ nodes: 1, workers: 2 })
          let former = ''
          let startsBefore = 0
          const id = await changeDuringCommit(rig, () => {
            former = findPlacements(rig).at(-1)!
            const worker = rig.fleet.workers.get(former)!
            startsBefore = worker.starts
            if (change === 'gone') rig.tables.drop({ table: 'servers', part: '', key: former })
            else rig.putInstance({ ...worker.report, state: 'draining' })
          }, options)
          await expectCompletion(rig, [id])
          expect(rig.fleet.workers.get(former)!.starts).toEqual(startsBefore)
        })
      }

      test(title('is dropped if its ticket has expired by then, and a new one is asked for'), async () => {
        let calls = 0
        const rig: CellRig = await createSteadyRig({
          nodes: 1,
          route: { advice: { base: 0, perWorker: 0, validity: 1500 } },
          advice: () => {
            calls++
            return 0
          }
        })
        const { workers } = rig.nodes[0]!
        const start = workers.start.bind(workers)
        const callsBefore: number[] = []
        workers.start = async (worker, order) => {
          callsBefore.push(calls)
          return await start(worker, order)
        }
        let callsBeforeOutage = 0
        const id = await changeDuringCommit(rig, () => { callsBeforeOutage = calls }, options)
        await expectCompletion(rig, [id])
        expect(callsBefore.length).toEqual(5)
        expect(callsBefore.slice(1).every(each => each > callsBeforeOutage)).toEqual(true)
      })
    }
  }
})

// Guards against a job that is shown as queued after it was shown as running: any node can read a placement that is on record, also if its order is not sent.
test('a job stays shown as running if its recorded placement is not ordered', async () => {
  const rig = await createSteadyRig({ nodes: 2, workers: 1 })
  const decider = rig.decider!
  decider.store.condition = 'slow'
  const { id } = await rig.submit(rig.nodes.find(node => node !== decider)!, [{}])
  await rig.until(() => decider.log.lines.some(({ event }) => event.name === 'run-placed'))
  decider.cell.activeDecider!.registry.workers.get('w0')!.suspendedUntil = Infinity
  decider.store.condition = 'normal'
  await rig.until(() => decider.log.lines.some(({ event }) => event.name === 'start-not-taken'))
  await rig.run(500)
  expect(await rig.phase(decider, id)).toEqual('running')
})
