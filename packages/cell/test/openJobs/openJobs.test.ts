import { describe, test } from 'node:test'
import { FakeClock, SeededRandom } from '@rattanstep/core'
import { MemoryLog } from '@rattanstep/telemetry'
import { expect } from 'earl'
import { createJob } from '../../src/runtime/createJob.js'
import { CANCELLATION_SUFFIX, recordRowName, submissionRowName } from '../../src/runtime/rowNames.js'
import { encodeSubmission } from '../../src/runtime/submissionRow.js'
import { OpenJobGate } from '../../src/openJobs/OpenJobGate.js'
import type { ReceivedOpenJobs } from '../../src/openJobs/OpenJobGate.js'
import { weighJob } from '../../src/openJobs/weighJob.js'
import { CellRig, createSteadyRig, stepOf } from '../support/CellRig.js'
import type { RigOptions } from '../support/CellRig.js'

const JOB_WEIGHT = weighJob({ spec: 'x', steps: [stepOf({})], route: 'r' }).weight
const HOUR_MS = 3_600_000

/** Room for four jobs of one holder at a time. */
const LIMITS = { openJobBytes: 8 * JOB_WEIGHT }

const endless: RigOptions = { limits: LIMITS, others: [{ name: 'other' }], behaviour: () => ({ duration: HOUR_MS, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) }

/** Writes jobs to the store as nodes of an earlier version accept them, without regard to what is open. */
function putJobs (rig: CellRig, count: number, { first = 1, route = 'r' } = {}): string[] {
  const { routes } = JSON.parse(rig.tables.rows.get('op//config')!.value) as { routes: Array<Parameters<typeof createJob>[1]> }
  return Array.from({ length: count }, (_, index) => {
    const id = (0xf000 + first + index).toString(16).padStart(16, '0')
    rig.tables.put(submissionRowName(id), encodeSubmission(createJob(id, routes.find(({ name }) => name === route)!, { spec: 'x', steps: [stepOf({})] }, index)))
    return id
  })
}

async function completeAll (rig: CellRig, ids: string[]): Promise<void> {
  for (let rounds = 0; rounds < 100; rounds++) {
    const phases = await rig.phases(ids)
    if (phases.every(phase => phase === 'completed')) return
    expect(phases.filter(phase => !['queued', 'running', 'completed'].includes(phase))).toEqual([])
    await rig.run(500)
  }
  throw new Error('the jobs did not complete')
}

/** @returns largest weight of jobs that the decider has held */
function held (rig: CellRig): number {
  return rig.decider!.cell.activeDecider!.openJobs.totals.held
}

describe('a crowd of jobs of one route', () => {
  test('is refused at every node, with a time to come back by, while jobs of another route are accepted', async () => {
    const rig = await createSteadyRig(endless)
    for (let count = 0; count < 4; count++) {
      expect((await rig.submit(rig.nodes[count % 3]!, [{}])).outcome.kind).toEqual('accepted')
      await rig.run(3000)
    }
    for (const node of rig.nodes) {
      const { id, outcome } = await rig.submit(node, [{}])
      expect(outcome.kind === 'refused' && outcome.retryAfter! >= 1).toEqual(true)
      expect(await rig.phase(node, id)).toEqual('unknown-job')
      expect(node.log.lines.some(({ event }) => event.name === 'open-jobs-full')).toEqual(true)
    }
    expect((await rig.submit(rig.nodes[1]!, [{}], 'other')).outcome.kind).toEqual('accepted')
  })

  test('is bounded by what a node has let through itself while it has no word from a decider', async () => {
    const clock = new FakeClock()
    let received: ReceivedOpenJobs | undefined
    const gate = new OpenJobGate({ clock, log: new MemoryLog(), random: new SeededRandom(1), limit: 8 * JOB_WEIGHT, lastReport: () => received })
    const job = { id: 'a', route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 0 }
    const letThrough = (): number => Array.from({ length: 20 }, () => gate.judge(job)).filter(refusal => refusal === undefined).length
    // Of the budget for eight, an eighth may be in use unreported: three jobs, and as much left free.
    expect(letThrough()).toEqual(3)
    await clock.advance(1500)
    expect(letThrough()).toEqual(0)
    // The first word may not include them yet.
    received = { report: undefined, at: clock.now() }
    expect(letThrough()).toEqual(0)
    await clock.advance(5000)
    received = { report: undefined, at: clock.now() }
    expect(letThrough()).toEqual(3)
  })

  test('is answered as accepted where it repeats an accepted id', async () => {
    const rig = await createSteadyRig(endless)
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    for (let count = 0; count < 5; count++) await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(3000)
    const job = createJob(id, rig.nodes[1]!.cell.configuration!.routes[0]!, { spec: 'x', steps: [stepOf({})] }, 0)
    let outcome: unknown
    rig.nodes[1]!.cell.gateway.submit(job, rig.clock.now() + 2000).then(value => { outcome = value }, error => { throw error })
    await rig.until(() => outcome !== undefined)
    expect(outcome).toEqual({ kind: 'accepted', repeated: true })
  })

  test('is limited by the smallest budget of the nodes that may decide', async () => {
    const rig = await createSteadyRig({ ...endless, limits: node => ({ openJobBytes: (node === 'n2' ? 8 : 100) * JOB_WEIGHT }) })
    const outcomes: string[] = []
    for (let count = 0; count < 8; count++) outcomes.push((await rig.submit(rig.nodes[0]!, [{}])).outcome.kind)
    expect(outcomes.filter(kind => kind === 'accepted').length <= 4).toEqual(true)
  })
})

describe('a crowd that cancels each of its jobs', () => {
  // Guards against phases of ended jobs that take memory without a bound.
  test('is refused while the phases of too many ended jobs are kept, and accepted afterwards', async () => {
    const rig = await createSteadyRig(endless)
    const node = rig.nodes[0]!
    let accepted = 0
    for (let count = 0; count < 60; count++) {
      const { id, outcome } = await rig.submit(node, [{}])
      if (outcome.kind === 'accepted') accepted++
      let isCancelled = false
      node.cell.gateway.cancel(id, rig.clock.now() + 2000).then(() => { isCancelled = true }, error => { throw error })
      await rig.until(() => isCancelled)
      await rig.run(1300)
    }
    expect(accepted < 40).toEqual(true)
    await rig.run(125_000)
    expect((await rig.submit(node, [{}])).outcome.kind).toEqual('accepted')
  })

  test('has its submissions archived faster than one transaction for each interval', async () => {
    const rig = await createSteadyRig({ workers: 1 })
    const ids = putJobs(rig, 1500)
    for (const id of ids) rig.tables.put({ ...submissionRowName(id), key: id + CANCELLATION_SUFFIX }, '{}')
    // One transaction of 33 jobs in each of eight parts every 1.5 s would take 9 s.
    await rig.run(6500)
    expect([...rig.tables.rows.values()].filter(({ table }) => table === 'jobs').length).toEqual(0)
  })
})

// Guards against a decider, and against each of its successors, that holds all accepted jobs however many there are.
describe('accepted jobs beyond the room of the decider', () => {
  test('wait in the store, are shown and counted as queued, and all complete', async () => {
    const rig = await createSteadyRig({ limits: LIMITS, workers: 1 })
    const ids = putJobs(rig, 30)
    await rig.run(1500)
    expect(held(rig)).toBeLessThanOrEqual(4 * JOB_WEIGHT)
    let counted: number | undefined
    rig.nodes[1]!.cell.gateway.countWaiting('r', 0).then(value => { counted = value }, error => { throw error })
    await rig.until(() => counted !== undefined)
    expect(counted!).toBeGreaterThan(10)
    await completeAll(rig, ids)
  })

  test('are loaded by a successor only as far as it has room, and all complete', async () => {
    const rig = new CellRig({ limits: LIMITS, workers: 1 })
    const ids = putJobs(rig, 30)
    await rig.until(() => rig.decider !== undefined)
    expect(held(rig)).toBeLessThanOrEqual(4 * JOB_WEIGHT)
    for (let count = 0; count < 2; count++) {
      await rig.run(2000)
      const decider = rig.decider!
      rig.kill(decider)
      await rig.until(() => rig.decider !== undefined && rig.decider !== decider)
      expect(held(rig)).toBeLessThanOrEqual(4 * JOB_WEIGHT)
    }
    await completeAll(rig, ids)
  })

  test('are found again if their ids were dropped', async () => {
    const rig = new CellRig({ limits: { ...LIMITS, deferredJobs: 5 }, workers: 1 })
    const ids = putJobs(rig, 40)
    await rig.until(() => rig.decider !== undefined)
    expect(rig.decider!.cell.activeDecider!.openJobs.waiting).toEqual(5)
    await completeAll(rig, ids)
  })

  test('are loaded later if the store does not answer at first', async () => {
    const rig = new CellRig({ limits: LIMITS, workers: 1 })
    const ids = putJobs(rig, 20)
    await rig.until(() => rig.decider !== undefined)
    for (const condition of ['refusing', 'normal', 'silent', 'normal'] as const) {
      for (const node of rig.nodes) node.store.condition = condition
      await rig.run(700)
    }
    await completeAll(rig, ids)
  })

  test('do not keep jobs of other routes from starting', async () => {
    const rig = await createSteadyRig({ limits: LIMITS, workers: 2, others: [{ name: 'other' }], behaviour: task => ({ duration: task.startsWith('000000000000f') ? HOUR_MS : 300, ending: 'done', size: { cpu: 500, memory: 100, accelerators: 0 } }) })
    putJobs(rig, 30)
    await rig.run(1500)
    const { id, outcome } = await rig.submit(rig.nodes[0]!, [{}], 'other')
    expect(outcome.kind).toEqual('accepted')
    await rig.run(3000)
    expect(await rig.phase(rig.nodes[0]!, id)).toEqual('completed')
  })

  test('end when they are cancelled, with none of their tasks started', async () => {
    const rig = await createSteadyRig({ ...endless, workers: 1 })
    const ids = putJobs(rig, 10)
    await rig.run(1500)
    const last = ids.at(-1)!
    expect(rig.decider!.cell.activeDecider!.openJobs.isDeferred(last)).toEqual(true)
    let outcome: unknown
    rig.nodes[1]!.cell.gateway.cancel(last, rig.clock.now() + 2000).then(value => { outcome = value }, error => { throw error })
    await rig.until(() => outcome !== undefined)
    await rig.run(3000)
    expect(await rig.phases([last])).toEqual(['cancelled'])
    expect(rig.decider!.cell.activeDecider!.openJobs.isDeferred(last)).toEqual(false)
    expect(rig.tables.rows.has(`jobs/${submissionRowName(last).part}/${last}`)).toEqual(false)
  })

  test('that were cancelled while no decider ran end at the successor', async () => {
    const rig = new CellRig({ ...endless, workers: 1 })
    const ids = putJobs(rig, 10)
    for (const id of ids) rig.tables.put({ ...submissionRowName(id), key: id + CANCELLATION_SUFFIX }, '{}')
    await rig.until(() => rig.decider !== undefined)
    await rig.run(4000)
    expect(await rig.phases(ids)).toEqual(ids.map(() => 'cancelled'))
  })

  // Without waiting for the job, the decider would acknowledge the end and start the task again once it holds the job.
  test('are held before the end of one of their former runs is acknowledged', async () => {
    const rig = new CellRig({ nodes: 0, limits: LIMITS, workers: 1 })
    const ids = putJobs(rig, 20)
    for (const id of ids) rig.tables.put(recordRowName(id), JSON.stringify({ phase: 'open', tasks: [[[[1]]]] }))
    const worker = rig.fleet.workers.get('w0')!
    const task = `${ids.at(-1)!}.0.0.0`
    expect(worker.start({ task, run: 1, spec: 'x', leaseEnd: 8000, fence: 1, checkpoint: '' }).kind).toEqual('taken')
    await rig.run(1000)
    expect(worker.ended.length).toEqual(1)
    rig.addNode('n0')
    await rig.until(() => rig.decider !== undefined)
    await completeAll(rig, ids)
    expect([rig.fleet.starts.get(task), rig.fleet.violations]).toEqual([1, []])
  })

  test('are held before a run is stopped that a worker lists', async () => {
    const rig = new CellRig({ nodes: 0, limits: LIMITS, workers: 1, behaviour: () => ({ duration: 3000, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
    const ids = putJobs(rig, 20)
    const last = ids.at(-1)!
    for (const id of ids) rig.tables.put(recordRowName(id), JSON.stringify({ phase: 'open', tasks: [[[id === last ? [1, 'w0'] : [1]]]] }))
    rig.fleet.workers.get('w0')!.start({ task: `${last}.0.0.0`, run: 1, spec: 'x', leaseEnd: 9000, fence: 1, checkpoint: '' })
    rig.addNode('n0')
    await completeAll(rig, ids)
    expect([rig.fleet.starts.get(`${last}.0.0.0`), rig.fleet.violations]).toEqual([1, []])
  })
})
