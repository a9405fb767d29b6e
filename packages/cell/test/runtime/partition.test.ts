import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }
/** Duration of a task, longer than any cut. */
const TASK_MS = 40_000
/** Duration of a cut, longer than a lease and the time that a new decider waits for those of the former one. */
const CUT_MS = 12_000

describe('a decider that is cut off from the store and most nodes', () => {
  // Guards against a decider that renews leases without end because the store answers none of the followers that it still has.
  for (const size of [1, 2, 3]) {
    test(`does not keep the tasks running that its successor starts anew, with ${size - 1} followers on its side`, async () => {
      const rig = await createRig()
      const { id, inside } = await cutOffDecider(rig, size)
      await rig.run(CUT_MS)
      expect(outside(rig, inside).some(node => node.cell.activeDecider !== undefined)).toEqual(true)
      expect(rig.fleet.starts.get(`${id}.0.0.0`)).toEqual(2)
      rig.healZone()
      await rig.run(3000)
      expect(rig.fleet.violations).toEqual([])
    })
  }

  test('does not do so either if it was itself just elected and followers have not joined it yet', async () => {
    const rig = await createRig()
    const first = rig.decider!
    rig.powerOff(first)
    await rig.until(() => rig.decider !== undefined && rig.decider !== first)
    const { inside } = await cutOffDecider(rig, 2)
    await rig.run(CUT_MS)
    expect(outside(rig, inside).some(node => node.cell.activeDecider !== undefined)).toEqual(true)
    rig.healZone()
    await rig.run(3000)
    expect(rig.fleet.violations).toEqual([])
  })

  // Guards against an old phase shown by a decider that has been replaced without its knowledge.
  test('shows no phase of a job any more once another node may have claimed the term', async () => {
    const rig = await createRig()
    const { id } = await rig.submit(rig.nodes.find(node => node !== rig.decider)!, [{ after: [] }, { after: [0] }])
    const former = rig.decider!
    rig.cutOffZone([former, rig.nodes.find(node => node !== former)!], ['w0'])
    await rig.run(5000)
    expect(await rig.phase(former, id)).toEqual('refused')
  })
})

describe('a decider that is linked to all nodes', () => {
  // A decider that the store refuses offers its term before the followers' reports show that the store refuses them too.
  for (const condition of ['silent', 'refusing', 'resetting'] as const) {
    test(`keeps all tasks running while the store is ${condition} for all nodes`, async () => {
      const rig = await createRig()
      const { id } = await rig.submit(rig.nodes[0]!, [{}])
      await rig.run(500)
      for (const node of rig.nodes) {
        node.store.condition = condition
        await rig.run(60)
      }
      await rig.run(CUT_MS)
      expect(await rig.phase(rig.nodes[0]!, id)).toEqual('running')
      for (const node of rig.nodes) node.store.condition = 'normal'
      await rig.run(3000)
      expect(rig.fleet.starts.get(`${id}.0.0.0`)).toEqual(1)
    })
  }

  test('keeps all tasks running while the store answers no node and a node that was killed has joined again', async () => {
    const rig = await createRig()
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    const killed = rig.nodes.filter(node => node !== rig.decider).at(-1)!
    rig.kill(killed)
    await rig.run(500)
    rig.addNode(killed.name)
    await rig.run(2000)
    for (const node of rig.nodes) node.store.condition = 'silent'
    await rig.run(CUT_MS)
    for (const node of rig.nodes) node.store.condition = 'normal'
    await rig.run(3000)
    expect(rig.fleet.starts.get(`${id}.0.0.0`)).toEqual(1)
  })
})

async function createRig (): Promise<CellRig> {
  return await createSteadyRig({ nodes: 6, workers: 1, behaviour: () => ({ duration: TASK_MS, ending: 'done', size: SIZE }) })
}

/** Has a task started on the only worker, and cuts off the decider with this worker and followers; another worker joins outside. */
async function cutOffDecider (rig: CellRig, size: number): Promise<{ id: string, inside: RigNode[] }> {
  const decider = rig.decider!
  const others = rig.nodes.filter(node => node !== decider && !node.clock.isDead)
  const { id } = await rig.submit(others[0]!, [{}])
  await rig.run(1000)
  rig.addWorker('w1')
  const inside = [decider, ...others.slice(0, size - 1)]
  rig.cutOffZone(inside, ['w0'])
  rig.removeInstance('w0')
  return { id, inside }
}

function outside (rig: CellRig, inside: RigNode[]): RigNode[] {
  return rig.nodes.filter(node => !inside.includes(node) && !node.clock.isDead)
}
