import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'

/** Time in which a job completes after the last fault. */
const COMPLETION_MS = 30_000

/**
 * Has the next placements of a job recorded and never ordered: when the store has carried out the transaction, the decider and the worker in the record
 * are lost, or the decider only.
 */
function losePlacements (rig: CellRig, id: string, { count, crashes = true, onLoss = () => {} }: { count: number, crashes?: boolean, onLoss?: (node: RigNode) => void }): { losses: number } {
  const state = { losses: 0 }
  const write = rig.tables.write.bind(rig.tables)
  rig.tables.write = transaction => {
    const outcome = write(transaction)
    const row = transaction.puts.find(({ table, key }) => table === 'tasks' && key === id)
    const worker = /"(w\d+)"/.exec(row?.value ?? '')?.[1]
    const node = rig.decider
    if (outcome.kind !== 'done' || worker === undefined || node === undefined || state.losses === count) return outcome
    state.losses++
    rig.kill(node)
    onLoss(node)
    if (crashes) rig.fleet.workers.get(worker)!.crash(1000)
    rig.clock.schedule(3500, () => { rig.addNode(node.name) })
    return outcome
  }
  return state
}

describe('a placement on record whose order was never sent', () => {
  // Guards against a job that is failed without a single run, because its deciders were lost together with the workers chosen for it.
  test('is not held against its job when the worker has crashed', async () => {
    const rig = await createSteadyRig({ nodes: 4, workers: 8 })
    const lost = losePlacements(rig, '1'.padStart(16, '0'), { count: 3 })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(COMPLETION_MS)
    expect([lost.losses, await rig.phases([id])]).toEqual([3, ['completed']])
  })

  // Guards against a count of waiting jobs that leaves out jobs of which no task has begun.
  test('leaves its job among the waiting ones', async () => {
    const rig = await createSteadyRig({ nodes: 4, workers: 1 })
    const lost = losePlacements(rig, '1'.padStart(16, '0'), { count: 1, crashes: false, onLoss: () => { rig.fleet.workers.get('w0')!.isCutOff = true } })
    await rig.submit(rig.nodes[0]!, [{}])
    await rig.until(() => lost.losses === 1)
    await rig.until(() => rig.decider !== undefined)
    let waiting: number | undefined
    rig.decider!.cell.gateway.countWaiting('r', 0).then(count => { waiting = count }, error => { throw error })
    await rig.until(() => waiting !== undefined)
    expect(waiting).toEqual(1)
  })
})

// Guards against a job to which the crash of a worker is attributed although the decider had not yet sent the order, but was polling the worker.
test('an order that waits for the poll of a worker that has crashed is not held against its job', async () => {
  const rig = await createSteadyRig({ workers: 2 })
  for (let crash = 0; crash < 3; crash++) {
    await rig.run(3000)
    for (const worker of rig.fleet.workers.values()) worker.crash(2000)
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(10_000)
    const crashes = rig.nodes.flatMap(node => node.log.lines).filter(line => JSON.stringify(line).includes('crash-attributed') && JSON.stringify(line).includes(id))
    expect([crashes, await rig.phases([id])]).toEqual([[], ['completed']])
  }
})

// Guards against a crash of a worker that a successor doesn't count, because the record doesn't show that the run had begun.
test('a run that has begun is on record as such within a moment, with a worker that crashes later counted', async () => {
  const rig = await createSteadyRig({ nodes: 4, behaviour: () => ({ duration: 5000, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
  const { id } = await rig.submit(rig.nodes[0]!, [{}])
  await rig.until(() => rig.fleet.starts.get(`${id}.0.0.0`) === 1)
  await rig.run(100)
  const decider = rig.decider!
  const task = decider.cell.activeDecider!.registry.findTask(`${id}.0.0.0`)!
  const worker = rig.fleet.workers.get(task.worker!.report.id)!
  rig.kill(decider)
  worker.crash(1000)
  await rig.until(() => rig.decider !== undefined)
  await rig.run(2000)
  const restored = rig.decider!.cell.activeDecider!.registry.findTask(`${id}.0.0.0`)!
  expect(restored.crashes.map(({ certainty, worker: id }) => [certainty, id])).toEqual([['confirmed', worker.report.id]])
})
