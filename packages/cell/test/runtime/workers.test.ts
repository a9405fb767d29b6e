import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }

describe('a worker', () => {
  test('that hangs loses its short runs to other workers within three seconds', async () => {
    const rig = await createSteadyRig({ workers: 2, behaviour: () => ({ duration: 500, ending: 'done', size: SIZE }) })
    const node = rig.nodes[0]!
    for (const worker of rig.fleet.workers.values()) worker.isHung = worker.report.id === 'w0'
    const ids: string[] = []
    for (let index = 0; index < 6; index++) ids.push((await rig.submit(node, [{ estimate: 500 }])).id)
    await rig.run(3500)
    expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
    expect(rig.fleet.violations).toEqual([])
  })

  test('that carries out orders late never causes a task to run twice', async () => {
    const rig = await createSteadyRig({ workers: 3 })
    const node = rig.nodes[0]!
    for (const worker of rig.fleet.workers.values()) worker.orderDelay = worker.report.id === 'w0' ? 6000 : 0
    const ids: string[] = []
    for (let index = 0; index < 10; index++) ids.push((await rig.submit(node, [{ count: 2 }])).id)
    await rig.run(3000)
    for (const worker of rig.fleet.workers.values()) worker.orderDelay = 0
    await rig.run(15_000)
    expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
    expect(rig.fleet.violations).toEqual([])
  })

  test('that restarts under the same id has its tasks run again', async () => {
    const rig = await createSteadyRig({ workers: 2, behaviour: () => ({ duration: 1500, ending: 'done', size: SIZE }) })
    const node = rig.nodes[0]!
    const ids: string[] = []
    for (let index = 0; index < 6; index++) ids.push((await rig.submit(node, [{}])).id)
    await rig.run(300)
    for (const worker of rig.fleet.workers.values()) worker.restart()
    await rig.run(6000)
    expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
    expect(rig.fleet.violations).toEqual([])
  })

  test('that is cut off and keeps running has its tasks run elsewhere only after their leases have expired', async () => {
    const rig = await createSteadyRig({ workers: 2, behaviour: () => ({ duration: 9000, ending: 'done', size: SIZE }) })
    const node = rig.nodes[0]!
    const { id } = await rig.submit(node, [{ count: 2 }])
    await rig.run(300)
    const worker = [...rig.fleet.workers.values()].find(each => each.running.size > 0)!
    worker.isCutOff = true
    await rig.run(20_000)
    worker.isCutOff = false
    await rig.run(2000)
    expect(await rig.phase(node, id)).toEqual('completed')
    expect(rig.fleet.violations).toEqual([])
  })

  test('that was idle has the end of its next run reported immediately', async () => {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: 200, ending: 'done', size: SIZE }) })
    for (let index = 0; index < 5; index++) {
      await rig.run(150)
      const { id } = await rig.submit(rig.nodes[0]!, [{}])
      await rig.run(320)
      expect(await rig.phase(rig.nodes[0]!, id)).toEqual('completed')
      await rig.run(1000)
    }
  })

  // Guards against a decider that polls the instance list once for each write, while hundreds of workers write their entries every one or
  // two seconds.
  test('that writes its entry repeatedly costs the decider only a few reads a second', async () => {
    const rig = await createSteadyRig({ workers: 60 })
    const decider = rig.decider!
    const reports = [...rig.fleet.workers.values()].map(worker => worker.report)
    const before = decider.store.calls
    for (let tick = 0; tick < 500; tick++) {
      rig.putInstance(reports[tick % reports.length]!)
      await rig.run(4)
    }
    // In each of the two seconds: five idle commits, one or two polls of other feeds, and the polls of the instance list.
    expect(decider.store.calls - before).toBeLessThan(60)
  })

  test('that drains gets no more tasks', async () => {
    const rig = await createSteadyRig({ workers: 2 })
    const drained = rig.fleet.workers.get('w0')!
    rig.putInstance({ ...drained.report, state: 'draining' })
    await rig.run(1500)
    const before = drained.starts
    for (let index = 0; index < 6; index++) await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(1500)
    expect(drained.starts).toEqual(before)
  })

  test('is never used beyond its capacity, whatever the sizes of the tasks', async () => {
    const sizes = [700, 1900, 2600, 3900]
    const rig = await createSteadyRig({ workers: 3, behaviour: task => ({ duration: 200, ending: 'done', size: { ...SIZE, cpu: sizes[Number(task.split('.')[2])]! } }) })
    const ids: string[] = []
    for (let index = 0; index < 8; index++) {
      ids.push((await rig.submit(rig.nodes[0]!, sizes.map(cpu => ({ count: 4, size: { ...SIZE, cpu } })))).id)
    }
    await rig.run(30_000)
    expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
    expect(rig.fleet.violations).toEqual([])
  })
})

describe('a job', () => {
  test('whose task always fails ends as failed after the maximum number of attempts', async () => {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: 100, ending: 'failed', size: SIZE }) })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(3000)
    expect(await rig.phase(rig.nodes[0]!, id)).toEqual('failed')
    expect([...rig.fleet.starts.values()]).toEqual([2])
  })

  test('that is cancelled has its runs stopped and starts no more tasks', async () => {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: 5000, ending: 'done', size: SIZE }) })
    const node = rig.nodes.find(each => each !== rig.decider)!
    const { id } = await rig.submit(node, [{ count: 3 }, { after: [0] }])
    await rig.run(300)
    let kind = ''
    node.cell.gateway.cancel(id, rig.clock.now() + 2000).then(outcome => { kind = outcome.kind }, error => { throw error })
    await rig.run(1000)
    expect(kind).toEqual('cancelled')
    expect(await rig.phase(node, id)).toEqual('cancelled')
    expect([...rig.fleet.workers.values()].map(worker => worker.running.size)).toEqual([0, 0, 0, 0])
  })

  test('that is a gang starts together or not at all', async () => {
    const rig = await createSteadyRig({ workers: 2, behaviour: () => ({ duration: 400, ending: 'done', size: { ...SIZE, cpu: 2000 } }) })
    const node = rig.nodes[0]!
    const small = await rig.submit(node, [{ size: { ...SIZE, cpu: 2000 } }])
    const gang = await rig.submit(node, [{ count: 4, gang: true, size: { ...SIZE, cpu: 2000 } }])
    await rig.run(200)
    const members = [...rig.fleet.firstStart].filter(([task]) => task.startsWith(gang.id))
    expect(members).toEqual([])
    await rig.run(3000)
    expect(await rig.phases([small.id, gang.id])).toEqual(['completed', 'completed'])
    const starts = [...rig.fleet.firstStart].filter(([task]) => task.startsWith(gang.id)).map(([, at]) => at)
    expect(Math.max(...starts) - Math.min(...starts)).toBeLessThan(50)
  })
})

// Guards against callers who ask in the moment in which a job ends, are told that it runs, and ask again only a few hundred ms later.
describe('a query for a job', () => {
  const LAST_RUN_MS = 500

  async function askAt (delay: number, steps: Parameters<CellRig['submit']>[1]): Promise<{ phase: string, waited: number }> {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: LAST_RUN_MS, ending: 'done', size: SIZE }) })
    const node = rig.nodes.find(each => each !== rig.decider)!
    const { id } = await rig.submit(node, steps)
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`))
    await rig.run(delay)
    const since = rig.clock.now()
    return { phase: await rig.phase(node, id), waited: rig.clock.now() - since }
  }

  for (const early of [20, 5, 0]) {
    test(`that arrives ${early} ms before its last run ends is answered with the end`, async () => {
      const { phase, waited } = await askAt(LAST_RUN_MS - early, [{ count: 3 }])
      expect(phase).toEqual('completed')
      expect(waited).toBeLessThan(101)
    })
  }

  test('that has long to run is answered within a tenth of a second', async () => {
    const { phase, waited } = await askAt(100, [{ count: 3 }])
    expect(phase).toEqual('running')
    expect(waited).toBeLessThan(120)
  })

  test('of which tasks wait is answered at once', async () => {
    const { phase, waited } = await askAt(LAST_RUN_MS - 50, [{ count: 1 }, { after: [0] }])
    expect(phase).toEqual('running')
    expect(waited).toBeLessThan(20)
  })
})
