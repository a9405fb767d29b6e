import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Step } from '../../src/index.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigOptions } from '../support/CellRig.js'

const BATCH_MS = 6000
const URGENT_MS = 300

/** Names of tasks start with the id of their job; jobs of batches are submitted first. */
interface FullCell {
  rig: CellRig
  batches: string[]
}

/** @returns a cell of four workers of four cores each, all of which run tasks of batches with one core each */
async function createFullCell ({ checkpoints = [true], batchMs = BATCH_MS, ...options }: RigOptions & { checkpoints?: boolean[], batchMs?: number } = {}): Promise<FullCell> {
  const batches: string[] = []
  const withCheckpoints = new Set<string>()
  const rig = await createSteadyRig({
    preempts: true,
    route: { priority: 0, latencyObjective: 1000 },
    others: [{ name: 'batch', priority: 2, stretch: 4, latencyObjective: 8000 }, { name: 'patient', priority: 1, stretch: 2, latencyObjective: 60_000 }],
    behaviour: task => batches.includes(task.slice(0, 16))
      ? { duration: batchMs, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 }, checkpoints: withCheckpoints.has(task.slice(0, 16)) }
      : { duration: URGENT_MS, ending: 'done', size: { cpu: 2000, memory: 100, accelerators: 0 } },
    ...options
  })
  for (const [index, each] of checkpoints.entries()) {
    const id = (index + 1).toString(16).padStart(16, '0')
    batches.push(id)
    if (each) withCheckpoints.add(id)
    await rig.submit(rig.nodes[0]!, [{ count: 16 / checkpoints.length, estimate: batchMs, checkpoints: each }], 'batch')
  }
  await rig.run(1000)
  expect(rig.fleet.starts.size).toEqual(16)
  return { rig, batches }
}

async function submitUrgent (rig: CellRig, step: Partial<Step> = {}, route = 'r'): Promise<string> {
  const node = rig.nodes.find(each => !each.clock.isDead)!
  return (await rig.submit(node, [{ size: { cpu: 2000, memory: 100, accelerators: 0 }, estimate: URGENT_MS, ...step }], route)).id
}

/** @returns names of the tasks that were ordered to stop for more urgent work, in order, as logged by all nodes */
function preempted (rig: CellRig): string[] {
  return rig.nodes.flatMap(({ log }) => log.lines.filter(({ event }) => event.name === 'run-preempted').map(({ fields }) => String(fields.task)))
}

async function expectCompletion (rig: CellRig, ids: string[]): Promise<void> {
  await rig.run(20_000)
  expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
  expect(rig.fleet.violations).toEqual([])
}

describe('preemption', () => {
  test('starts urgent tasks in a full cell and lets the stopped ones continue from their checkpoints', async () => {
    // Guards against urgent work that waits for batches, and against stopped runs that begin anew.
    const { rig, batches } = await createFullCell()
    const id = await submitUrgent(rig, { count: 3 })
    await rig.until(() => [0, 1, 2].every(index => rig.fleet.firstStart.has(`${id}.0.0.${index}`)), 600)
    expect(preempted(rig).length).toEqual(6)
    await rig.run(2 * URGENT_MS)
    const endedBefore = rig.clock.now()
    await rig.until(() => [...rig.fleet.done].filter(task => batches.includes(task.slice(0, 16))).length === 16, 12_000)
    expect(rig.clock.now() - endedBefore).toBeLessThan(BATCH_MS - 500)
    await expectCompletion(rig, [...batches, id])
  })

  test('stops nothing where it is not enabled', async () => {
    // Guards against a change for deployments without organisations.
    const { rig, batches } = await createFullCell({ preempts: false })
    const id = await submitUrgent(rig)
    await rig.run(2000)
    expect(preempted(rig)).toEqual([])
    await expectCompletion(rig, [...batches, id])
  })

  test('is enabled by organisations in the configuration', async () => {
    // Guards against a switch that only looks at the settings.
    const { rig } = await createFullCell({ preempts: false })
    rig.tables.put({ table: 'op', part: '', key: 'config' }, JSON.stringify({ ...rig.nodes[0]!.cell.configuration, version: 2, organisations: [{ name: 'o', keys: [], weight: 1, cap: { cpu: 0, memory: 0, accelerators: 0 } }] }))
    await rig.run(1000)
    await submitUrgent(rig)
    await rig.run(500)
    expect(preempted(rig).length).toEqual(2)
  })

  test('gives the capacity of several workers to a gang, all at once', async () => {
    // Guards against capacity that other batches take while a gang waits for the rest of its workers.
    const { rig, batches } = await createFullCell()
    const more = (await rig.submit(rig.nodes[0]!, [{ count: 16, estimate: BATCH_MS, checkpoints: true }], 'batch')).id
    batches.push(more)
    rig.fleet.workers.get('w0')!.orderDelay = 200
    const id = await submitUrgent(rig, { count: 6, gang: true })
    await rig.until(() => preempted(rig).length > 0, 200)
    await rig.run(20)
    rig.fleet.workers.get('w0')!.orderDelay = 0
    await rig.until(() => [0, 1, 2, 3, 4, 5].every(index => rig.fleet.firstStart.has(`${id}.0.0.${index}`)), 700)
    expect(preempted(rig).length).toEqual(12)
    await expectCompletion(rig, [...batches, id])
  })

  test('spares tasks without checkpoints while others suffice', async () => {
    // Guards against work that is lost although other runs would lose only a moment.
    const { rig, batches } = await createFullCell({ checkpoints: [false, true] })
    const id = await submitUrgent(rig, { count: 2 })
    await rig.run(500)
    expect(preempted(rig).map(task => task.slice(0, 16))).toEqual([batches[1]!, batches[1]!, batches[1]!, batches[1]!])
    await expectCompletion(rig, [...batches, id])
  })

  test('stops nothing for a job that can wait and still be in time', async () => {
    // Guards against lost work that buys nothing.
    const { rig, batches } = await createFullCell()
    const id = await submitUrgent(rig, { estimate: 2000 }, 'patient')
    await expectCompletion(rig, [...batches, id])
    expect(preempted(rig)).toEqual([])
  })

  test('stops nothing that will end as soon as the stop would take effect', async () => {
    // Guards against stops of runs that are almost done.
    const { rig, batches } = await createFullCell({ batchMs: 2500 })
    await rig.run(1050)
    const id = await submitUrgent(rig)
    await expectCompletion(rig, [...batches, id])
    expect(preempted(rig)).toEqual([])
  })

  test('stops no run of an equal priority', async () => {
    // Guards against urgent jobs that stop each other in turn.
    const { rig, batches } = await createFullCell({ others: [{ name: 'batch', priority: 0, stretch: 4, latencyObjective: 8000 }, { name: 'idle', priority: 2 }] })
    const id = await submitUrgent(rig)
    await expectCompletion(rig, [...batches, id])
    expect(preempted(rig)).toEqual([])
  })

  test('does not stop a task again and again', async () => {
    // Guards against batches that never end under a steady stream of urgent jobs.
    const { rig, batches } = await createFullCell()
    const ids: string[] = []
    for (let index = 0; index < 30; index++) {
      ids.push(await submitUrgent(rig, { count: 6 }))
      await rig.run(400)
    }
    await expectCompletion(rig, [...batches, ...ids])
    const counts = new Map<string, number>()
    for (const task of preempted(rig)) counts.set(task, (counts.get(task) ?? 0) + 1)
    expect(Math.max(...counts.values())).toEqual(2)
  })

  test('survives the loss of the decider after the orders to stop', async () => {
    // Guards against tasks that run twice or never again when the successor doesn't know why they were stopped.
    const { rig, batches } = await createFullCell()
    const decider = rig.decider!
    const id = await submitUrgent(rig, { count: 3 })
    await rig.until(() => preempted(rig).length > 0, 500)
    rig.kill(decider)
    await expectCompletion(rig, [...batches, id])
  })

  test('starts the urgent task elsewhere if an order to stop is carried out late', async () => {
    // Guards against a step that waits for the end of a run whose worker doesn't answer, and against a worker that is loaded over its capacity.
    const { rig, batches } = await createFullCell()
    const worker = rig.fleet.workers.get('w0')!
    worker.orderDelay = 3000
    const id = await submitUrgent(rig)
    await rig.until(() => preempted(rig).length > 0, 500)
    expect(worker.running.has(preempted(rig)[0]!)).toEqual(true)
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), 1300)
    expect(worker.running.size).toEqual(4)
    worker.orderDelay = 0
    await expectCompletion(rig, [...batches, id])
  })
})
