import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigOptions } from '../support/CellRig.js'
import type { FakeWorker } from '../support/FakeWorkers.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }
/** Time after which a task that crashes every worker must have been given up: three leases, and the returns of three workers. */
const GIVE_UP_MS = 40_000

/** @returns a rig in which every run of the tasks of the job with a number crashes its worker */
async function createDeadlyRig ({ deadly = ['1'], replaces = false, crashAfter = 100, ...options }: RigOptions & { deadly?: string[], replaces?: boolean, crashAfter?: number } = {}): Promise<CellRig> {
  const ids = new Set(deadly.map(number => number.padStart(16, '0')))
  const rig = await createSteadyRig({ ...options, behaviour: task => ({ duration: 600, ending: 'done', size: SIZE, ...(ids.has(task.split('.')[0]!) ? { crashAfter } : {}) }) })
  rig.fleet.replacesCrashed = replaces
  return rig
}

function violationsOf (rig: CellRig): string[] {
  return rig.fleet.violations.map(({ rule, task }) => `${rule} ${task}`)
}

describe('a task that crashes every worker', () => {
  // Guards against a task that is started on one worker after the other without end, because no crash under it was counted.
  for (const replaces of [false, true]) {
    test(`is given up after two of them, if they come back under ${replaces ? 'another' : 'the same'} id`, async () => {
      const rig = await createDeadlyRig({ replaces })
      const { id } = await rig.submit(rig.nodes[0]!, [{}])
      await rig.run(GIVE_UP_MS)
      expect(violationsOf(rig)).toEqual([])
      expect(rig.fleet.losses.length).toBeLessThan(4)
      expect(await rig.phase(rig.nodes[0]!, id)).toEqual('failed')
      if (!replaces) expect(rig.fleet.losses.length).toEqual(2)
    })
  }
  // Guards against a count that is lost with the decider: the successor finds a run on record whose worker has been restarted meanwhile.
  test('is given up after two of them, if the decider is killed with each', async () => {
    const rig = await createDeadlyRig({ nodes: 4 })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    for (const losses of [1, 2]) {
      await rig.until(() => rig.fleet.losses.length === losses)
      rig.kill(rig.decider!)
    }
    await rig.run(GIVE_UP_MS)
    expect([violationsOf(rig), rig.fleet.losses.length, await rig.phases([id])]).toEqual([[], 2, ['failed']])
  })

  test('is given up when the decider is killed after each order to start it', async () => {
    const rig = await createDeadlyRig({ nodes: 4, crashAfter: 400 })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    for (const starts of [1, 2]) {
      await rig.until(() => rig.fleet.starts.get(`${id}.0.0.0`) === starts)
      rig.kill(rig.decider!)
    }
    await rig.run(GIVE_UP_MS)
    expect([violationsOf(rig), rig.fleet.losses.length, await rig.phases([id])]).toEqual([[], 2, ['failed']])
  })

  test('is given up when two takeovers follow its first crash', async () => {
    const rig = await createDeadlyRig({ nodes: 4 })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await rig.until(() => rig.fleet.losses.length === 1)
    for (let takeover = 0; takeover < 2; takeover++) {
      rig.kill(rig.decider!)
      await rig.until(() => rig.decider !== undefined)
    }
    await rig.run(GIVE_UP_MS)
    expect([violationsOf(rig), rig.fleet.losses.length, await rig.phases([id])]).toEqual([[], 2, ['failed']])
  })

  test('is given up when the commit that counts a crash gets no answer, and the decider is killed', async () => {
    for (const condition of ['losing-answers', 'silent'] as const) {
      const rig = await createDeadlyRig()
      const { id } = await rig.submit(rig.nodes[0]!, [{}])
      await rig.until(() => rig.fleet.losses.length === 1)
      await rig.run(2900)
      const decider = rig.decider!
      decider.store.condition = condition
      await rig.run(250)
      rig.kill(decider)
      await rig.run(GIVE_UP_MS)
      expect([violationsOf(rig), rig.fleet.losses.length, await rig.phases([id])]).toEqual([[], 2, ['failed']])
    }
  })

  test('is given up when its orders are carried out late', async () => {
    const rig = await createDeadlyRig()
    for (const worker of rig.fleet.workers.values()) worker.orderDelay = 1200
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    for (const losses of [1, 2]) {
      await rig.until(() => rig.fleet.losses.length === losses)
      rig.fleet.workers.get(rig.fleet.losses.at(-1)!.worker)!.orderDelay = 0
    }
    await rig.run(GIVE_UP_MS)
    expect([violationsOf(rig), rig.fleet.losses.length, await rig.phases([id])]).toEqual([[], 2, ['failed']])
  })
})

describe('a crash is not attributed to a task', () => {
  /** @returns a rig with a job of one long task, and a function that returns the worker that runs it */
  async function createLongRig (): Promise<{ rig: CellRig, id: string, current: () => FakeWorker }> {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: 9000, ending: 'done', size: SIZE }) })
    const { id } = await rig.submit(rig.nodes[0]!, [{ estimate: 9000 }])
    return { rig, id, current: () => [...rig.fleet.workers.values()].find(worker => worker.running.size > 0 && !worker.isCutOff)! }
  }

  test('whose workers are cut off, lose their entries and answer again in the same incarnation', async () => {
    const { rig, id, current } = await createLongRig()
    for (let time = 0; time < 5; time++) {
      await rig.until(() => current() !== undefined)
      const worker = current()
      worker.isCutOff = true
      await rig.run(3500)
      rig.removeInstance(worker.report.id)
      await rig.run(3000)
      worker.isCutOff = false
      rig.putInstance(worker.report)
    }
    await rig.run(12_000)
    expect(await rig.phases([id])).toEqual(['completed'])
  })

  test('whose workers are cut off and stay listed', async () => {
    const { rig, id, current } = await createLongRig()
    for (let time = 0; time < 3; time++) {
      await rig.until(() => current() !== undefined)
      current().isCutOff = true
      await rig.run(6000)
    }
    await rig.run(12_000)
    expect(await rig.phases([id])).toEqual(['completed'])
    expect(rig.nodes.flatMap(node => node.log.lines).filter(line => line.event.name === 'task-given-up')).toEqual([])
  })

  for (const replaces of [false, true]) {
    test(`whose workers announce a planned stop, and come back under ${replaces ? 'another' : 'the same'} id`, async () => {
      const { rig, id, current } = await createLongRig()
      rig.fleet.replacesCrashed = replaces
      for (let time = 0; time < 4; time++) {
        await rig.until(() => current() !== undefined)
        const worker = current()
        rig.putInstance({ ...worker.report, state: 'draining' })
        await rig.run(1000)
        worker.crash()
        await rig.run(3200)
        if (!replaces) rig.putInstance(worker.report)
        await rig.run(1000)
      }
      await rig.run(20_000)
      expect(await rig.phases([id])).toEqual(['completed'])
    })
  }
})
