import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Job, Step } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
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

/** Submits a job of one step and returns its id. */
async function submitJob (rig: CellRig, step: Partial<Step>, job: Partial<Job>): Promise<string> {
  const id = '1'.padStart(16, '0')
  const repeat = job.repeat === undefined ? {} : { repeat: { ...job.repeat, first: rig.clock.wall() + job.repeat.first } }
  const node = rig.nodes[0]!
  let outcome = ''
  node.cell.gateway.submit({ id, route: 'r', spec: 'x', steps: [stepOf(step)], acceptedAt: node.store.now(), ...repeat }, rig.clock.now() + 2000).then(({ kind }) => { outcome = kind }, error => { throw error })
  await rig.until(() => outcome === 'accepted')
  return id
}

/** @returns the number of crashes after the first ones that happened while another worker was down because of a crash */
function overlappingLosses ({ fleet }: CellRig, first: number): number {
  const later = fleet.losses.slice(first)
  return later.filter(({ at }, index) => index > 0 && at - later[index - 1]!.at < 2900).length
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
      expect(await rig.phase(rig.nodes[0]!, id)).toEqual('failed')
      expect(rig.fleet.losses.length).toEqual(2)
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

describe('a task that crashes every worker, among other jobs,', () => {
  // Guards against a suspect that is started beside other jobs, whose tasks then become suspects as well and are given up with it.
  test('takes down three workers at most and one at a time after the first, and the other jobs complete', async () => {
    for (const replaces of [false, true]) {
      const rig = await createDeadlyRig({ workers: 4, deadly: ['6'], replaces })
      const ids: string[] = []
      for (let index = 0; index < 30; index++) {
        ids.push((await rig.submit(rig.nodes[0]!, [{ count: 2 }])).id)
        await rig.run(100)
      }
      await rig.run(GIVE_UP_MS)
      expect(await rig.phases(ids)).toEqual(ids.map((_, index) => index === 5 ? 'failed' : 'completed'))
      expect(violationsOf(rig)).toEqual([])
      for (const [task, crashes] of rig.fleet.crashes) expect([task, crashes]).toEqual([task, Math.min(crashes, 3)])
      expect(new Set(rig.fleet.losses.map(({ at }) => at)).size).toEqual(rig.fleet.losses.length)
    }
  })

  test('does not stop its job from completing if only one of the job\'s tasks was on a worker that crashed for another reason', async () => {
    const rig = await createSteadyRig({ behaviour: () => ({ duration: 2000, ending: 'done', size: SIZE }) })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 8, estimate: 2000 }])
    await rig.run(1000)
    ;[...rig.fleet.workers.values()].find(worker => worker.running.size > 0)!.crash()
    await rig.run(20_000)
    expect([violationsOf(rig), await rig.phases([id])]).toEqual([[], ['completed']])
  })

  test('is tried again on a worker that is kept free of others, also while all workers are busy', async () => {
    const rig = await createDeadlyRig({ workers: 2, deadly: ['1'] })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    const ids: string[] = []
    for (let index = 0; index < 150; index++) {
      ids.push((await rig.submit(rig.nodes[0]!, [{}])).id)
      await rig.run(60)
    }
    await rig.run(GIVE_UP_MS)
    expect(await rig.phases([id, ...ids])).toEqual(['failed', ...ids.map(() => 'completed')])
    expect(violationsOf(rig)).toEqual([])
    expect(rig.fleet.losses.length).toBeLessThan(4)
  })
})

describe('a job with tasks that crash every worker', () => {
  for (const [kind, step, job] of [
    ['is wide', { count: 8 }, {}], ['is a gang', { count: 3, gang: true }, {}], ['lasts', { count: 2, lasting: true }, {}], ['fills', { count: 3, filling: true }, {}],
    ['is repeated', {}, { repeat: { count: 3, first: 2500, interval: 1000 } }]
  ] as Array<[string, Partial<Step>, Partial<Job>]>) {
    for (const replaces of [false, true]) {
      test(`and ${kind} takes down one worker at a time after its first tasks, and fails, if workers come back under ${replaces ? 'another' : 'the same'} id`, async () => {
        const rig = await createDeadlyRig({ workers: 8, replaces })
        const id = await submitJob(rig, step, job)
        await rig.until(() => rig.fleet.losses.length > 0)
        // No crash can be told from an interruption before its worker is back.
        await rig.run(3000)
        const firstWave = rig.fleet.losses.length
        await rig.run(GIVE_UP_MS)
        expect([violationsOf(rig), await rig.phases([id])]).toEqual([[], ['failed']])
        for (const crashes of rig.fleet.crashes.values()) expect(crashes).toBeLessThan(4)
        if (step.gang !== true) expect(overlappingLosses(rig, firstWave)).toEqual(0)
        const before = rig.fleet.losses.length
        await rig.run(GIVE_UP_MS)
        expect(rig.fleet.losses.length).toEqual(before)
      })
    }
  }

  test('and several others like it are given up within the budget of each', async () => {
    for (const replaces of [false, true]) {
      const rig = await createDeadlyRig({ workers: 6, deadly: ['2', '3', '5', '8'], replaces })
      const ids: string[] = []
      for (let index = 0; index < 16; index++) {
        ids.push((await rig.submit(rig.nodes[0]!, [{ count: 2 }])).id)
        await rig.run(150)
      }
      await rig.run(2 * GIVE_UP_MS)
      expect(violationsOf(rig)).toEqual([])
      expect(await rig.phases(ids)).toEqual(ids.map((_, index) => [1, 2, 4, 7].includes(index) ? 'failed' : 'completed'))
    }
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
  /** Adds two racks to a rig and returns a function that takes the power from a rack for a while. */
  async function addRacks (rig: CellRig): Promise<(rack: string) => void> {
    for (const rack of ['r1-1', 'r1-2']) for (let index = 0; index < 4; index++) rig.addWorker(`${rack}-${index}`, 4000, [rack])
    await rig.run(1500)
    return rack => { for (const worker of rig.fleet.workers.values()) if (worker.report.labels.includes(rack)) worker.crash() }
  }

  for (const replaces of [false, true]) {
    test(`whose racks lose power, and whose workers come back under ${replaces ? 'another' : 'the same'} id`, async () => {
      const rig = await createSteadyRig({ workers: 0, behaviour: () => ({ duration: 9000, ending: 'done', size: SIZE }) })
      rig.fleet.replacesCrashed = replaces
      const cutPower = await addRacks(rig)
      const jobs = [await rig.submit(rig.nodes[0]!, [{ estimate: 9000 }]), await rig.submit(rig.nodes[0]!, [{ estimate: 9000, count: 12 }])]
      for (let time = 0; time < 4; time++) {
        await rig.run(3000)
        cutPower(time % 2 === 0 ? 'r1-1' : 'r1-2')
        await rig.run(4000)
      }
      await rig.run(60_000)
      expect(await rig.phases(jobs.map(job => job.id))).toEqual(['completed', 'completed'])
    })
  }
})

describe('a wide job that crashes every worker of a rack at once', () => {
  test('is given up all the same', async () => {
    const rig = await createDeadlyRig({ workers: 0 })
    for (let index = 0; index < 4; index++) rig.addWorker(`w${index}`, 1000, ['r1-1'])
    await rig.run(1500)
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 4 }])
    await rig.run(GIVE_UP_MS)
    expect([violationsOf(rig), await rig.phases([id])]).toEqual([[], ['failed']])
    expect(Math.max(...rig.fleet.crashes.values())).toBeLessThan(4)
  })
})
