import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Job } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { RigNode, RigOptions, CellRig } from '../support/CellRig.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }

async function submitJob (rig: CellRig, node: RigNode, job: Partial<Job>): Promise<string> {
  const id = '00000000000000aa'
  let outcomeKind = ''
  node.cell.gateway.submit({ id, route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: node.store.now(), ...job }, rig.clock.now() + 2000).then(outcome => { outcomeKind = outcome.kind }, error => { throw error })
  await rig.until(() => outcomeKind === 'accepted')
  return id
}

function workersRunning (rig: CellRig, id: string): string[] {
  return [...rig.fleet.workers.values()].flatMap(worker => [...worker.running.keys()].filter(task => task.startsWith(id)).map(() => worker.report.id))
}

describe('a lasting job', () => {
  const behaviour: RigOptions['behaviour'] = () => ({ duration: 1500, ending: 'done', size: SIZE })

  test('has its tasks started again however they end, and is never reported as completed', async () => {
    const rig = await createSteadyRig({ behaviour })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 3, lasting: true }])
    await rig.run(6000)
    expect(await rig.phase(rig.nodes[1]!, id)).toEqual('running')
    expect(Math.min(...rig.fleet.starts.values())).toBeGreaterThan(2)
    expect(workersRunning(rig, id).length).toEqual(3)
  })

  test('does not fail when its tasks fail more often than the route allows', async () => {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: 300, ending: 'failed', size: SIZE }) })
    const { id } = await rig.submit(rig.nodes[0]!, [{ lasting: true }])
    await rig.run(15_000)
    expect(await rig.phase(rig.nodes[1]!, id)).toEqual('running')
    expect(Math.max(...rig.fleet.starts.values())).toBeGreaterThan(3)
  })

  test('continues through a takeover without a second copy of a task', async () => {
    const rig = await createSteadyRig({ behaviour })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 4, lasting: true }])
    await rig.run(1000)
    rig.kill(rig.decider!)
    await rig.run(5000)
    expect(workersRunning(rig, id).length).toEqual(4)
    // Lasting tasks are started again after they end, which the fake fleet reports as a violation for every task.
    expect(rig.fleet.violations.filter(({ rule }) => rule !== 'after-done')).toEqual([])
  })

  test('ends when it is cancelled', async () => {
    const rig = await createSteadyRig({ behaviour })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 2, lasting: true }])
    await rig.run(500)
    rig.nodes[1]!.cell.gateway.cancel(id, rig.clock.now() + 2000).catch(error => { throw error })
    await rig.run(1500)
    expect(await rig.phase(rig.nodes[1]!, id)).toEqual('cancelled')
    expect(workersRunning(rig, id)).toEqual([])
  })
})

describe('a repeated job', () => {
  test('starts each occurrence when it is due, not earlier, and ends with the last one', async () => {
    const rig = await createSteadyRig()
    const since = rig.clock.now()
    const first = rig.clock.wall() + 1000
    const id = await submitJob(rig, rig.nodes[0]!, { repeat: { count: 3, first, interval: 1500 } })
    await rig.run(700)
    expect([...rig.fleet.firstStart.keys()]).toEqual([])
    await rig.run(8000)
    const starts = [0, 1, 2].map(occurrence => rig.fleet.firstStart.get(`${id}.${occurrence}.0.0`)! - since)
    for (const [occurrence, start] of starts.entries()) {
      expect(start).toBeGreaterThan(1000 + occurrence * 1500 - 1)
      expect(start).toBeLessThan(1000 + occurrence * 1500 + 400)
    }
    expect(await rig.phase(rig.nodes[1]!, id)).toEqual('completed')
  })

  test('runs no occurrence twice when the decider changes between two occurrences', async () => {
    const rig = await createSteadyRig()
    const id = await submitJob(rig, rig.nodes[0]!, { repeat: { count: 3, first: rig.clock.wall() + 500, interval: 1500 } })
    await rig.run(1300)
    rig.kill(rig.decider!)
    await rig.run(10_000)
    expect([...rig.fleet.starts.values()]).toEqual([1, 1, 1])
    expect(await rig.phase(rig.nodes.find(node => !node.clock.isDead)!, id)).toEqual('completed')
  })
})

describe('a step with constraints', () => {
  test('never has more tasks on one worker than it allows', async () => {
    const rig = await createSteadyRig({ workers: 3, behaviour: () => ({ duration: 800, ending: 'done', size: SIZE }) })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 9, perWorker: 2 }])
    for (let step = 0; step < 40; step++) {
      await rig.run(50)
      const counts = [...rig.fleet.workers.values()].map(worker => [...worker.running.keys()].filter(task => task.startsWith(id)).length)
      expect(Math.max(...counts)).toBeLessThan(3)
    }
    await rig.run(8000)
    expect(await rig.phase(rig.nodes[0]!, id)).toEqual('completed')
  })

  test('runs only on workers with the label that it needs, and waits if there are none', async () => {
    const rig = await createSteadyRig({ workers: 3 })
    const labelled = rig.fleet.workers.get('w2')!
    rig.putInstance({ ...labelled.report, labels: ['b', 'r1-1'] })
    await rig.run(1200)
    const here = await rig.submit(rig.nodes[0]!, [{ count: 4, label: 'b' }])
    const nowhere = await rig.submit(rig.nodes[0]!, [{ label: 'c' }])
    await rig.run(4000)
    expect(await rig.phases([here.id, nowhere.id])).toEqual(['completed', 'queued'])
    expect(labelled.starts).toEqual(4)
  })

  test('runs on the rack of its data while there is capacity, and elsewhere when there is none', async () => {
    const rig = await createSteadyRig({ workers: 4, behaviour: () => ({ duration: 2000, ending: 'done', size: SIZE }) })
    const near = rig.fleet.workers.get('w1')!
    rig.putInstance({ ...near.report, labels: ['r1-7'] })
    await rig.run(1200)
    await rig.submit(rig.nodes[0]!, [{ count: 3, dataRack: 'r1-7' }])
    await rig.run(300)
    expect(near.starts).toEqual(3)
    await rig.submit(rig.nodes[0]!, [{ count: 3, dataRack: 'r1-7' }])
    await rig.run(300)
    expect(near.starts).toEqual(4)
    expect([...rig.fleet.starts.values()].length).toEqual(6)
  })

  test('that depends on another starts only when all tasks of that step are done', async () => {
    const rig = await createSteadyRig({ behaviour: task => ({ duration: task.endsWith('.0.2') ? 1500 : 200, ending: 'done', size: SIZE }) })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 3 }, { after: [0] }])
    await rig.run(1200)
    expect(rig.fleet.firstStart.has(`${id}.0.1.0`)).toEqual(false)
    await rig.run(2000)
    expect(await rig.phase(rig.nodes[0]!, id)).toEqual('completed')
  })
})
