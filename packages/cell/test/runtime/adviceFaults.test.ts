import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigOptions } from '../support/CellRig.js'

const TERMS = { base: 630, perWorker: 9, validity: 1500 }
/** Time in which a step starts when all workers are up: several calls for advice, a commit and an order. */
const START_LIMIT_MS = 5000
const SIZE = { cpu: 4000, memory: 100, accelerators: 0 }

/** @returns a rig whose route needs advice and whose workers have capacity for one task each */
async function createAdvisedRig (options: RigOptions = {}): Promise<CellRig> {
  return await createSteadyRig({ route: { priority: 0, advice: TERMS }, advice: (_step, named) => TERMS.base + named * TERMS.perWorker, behaviour: () => ({ duration: 300, ending: 'done', size: SIZE }), ...options })
}

// Guards against steps that are never asked about again because every worker was down, in another incarnation or cut off when the question was asked.
describe('a worker for which the advice service gave no ticket', () => {
  test('is asked about again if it was down during the call', async () => {
    const rig = await createAdvisedRig({ workers: 1 })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.run(200)
    rig.fleet.workers.get('w0')!.crash()
    await rig.run(3500)
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), START_LIMIT_MS)
  })

  test('is asked about again in its next incarnation, which may be of another kind', async () => {
    const rig = await createAdvisedRig({ workers: 2, allows: (_worker, born) => born > 1 })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.run(2000)
    expect(rig.fleet.firstStart.size).toEqual(0)
    rig.fleet.workers.get('w1')!.crash()
    await rig.run(3500)
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), START_LIMIT_MS)
  })

  test('is asked about again if the platform removed its entry and it returned', async () => {
    let isKnown = false
    const rig = await createAdvisedRig({ workers: 1, allows: () => isKnown })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.run(2000)
    const { report } = rig.fleet.workers.get('w0')!
    rig.removeInstance('w0')
    await rig.run(3000)
    isKnown = true
    rig.putInstance(report)
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), START_LIMIT_MS)
  })

  test('is asked about again after a while if the step has no other worker', async () => {
    let isKnown = false
    const rig = await createAdvisedRig({ workers: 4, allows: () => isKnown })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    const gang = await rig.submit(rig.nodes[0]!, [{ size: SIZE, count: 2, gang: true }])
    await rig.run(3000)
    isKnown = true
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`) && rig.fleet.firstStart.has(`${gang.id}.0.0.1`), 2 * START_LIMIT_MS)
  })
})

// Guards against gangs that ask without end for tickets of workers that were allowed once, and never about others.
describe('a gang whose allowed workers are no longer allowed', () => {
  /** @returns a rig of four workers that are all allowed for a gang and are in use by another job, and the ids of both jobs */
  async function createWaitingGang (allows: RigOptions['allows']): Promise<{ rig: CellRig, gang: string, other: string }> {
    const rig = await createAdvisedRig({ workers: 4, allows, others: [{ name: 'other', priority: 0 }], behaviour: () => ({ duration: 60_000, ending: 'done', size: SIZE }) })
    const other = await rig.submit(rig.nodes[0]!, [{ size: SIZE, count: 4, estimate: 60_000 }], 'other')
    const gang = await rig.submit(rig.nodes[0]!, [{ size: SIZE, count: 2, gang: true, estimate: 300 }])
    await rig.run(3000)
    expect(rig.decider!.cell.activeDecider!.registry.jobs.get(gang.id)!.occurrences[0]!.steps[0]!.allowedWorkers.size).toEqual(4)
    return { rig, gang: gang.id, other: other.id }
  }

  /** Ends the other job, adds workers after a while, and waits until the gang has started. */
  async function expectStartOnNewWorkers (rig: CellRig, { gang, other }: { gang: string, other: string }): Promise<void> {
    rig.nodes[0]!.cell.gateway.cancel(other, rig.clock.now() + 2000).catch(error => { throw error })
    await rig.run(3000)
    for (const worker of ['w4', 'w5']) rig.addWorker(worker)
    await rig.until(() => rig.fleet.firstStart.has(`${gang}.0.0.1`), START_LIMIT_MS)
    expect(rig.fleet.violations).toEqual([])
  }

  test('is asked about further workers after new incarnations of the former ones', async () => {
    const { rig, ...jobs } = await createWaitingGang((worker, born) => worker > 'w3' || born === 1)
    for (const worker of ['w0', 'w1', 'w2', 'w3']) rig.fleet.workers.get(worker)!.crash(500)
    await expectStartOnNewWorkers(rig, jobs)
  })

  test('is asked about further workers if the service gives no more tickets', async () => {
    let areFormerAllowed = true
    const { rig, ...jobs } = await createWaitingGang(worker => worker > 'w3' || areFormerAllowed)
    areFormerAllowed = false
    await expectStartOnNewWorkers(rig, jobs)
  })
})

// Guards against orders with a ticket of a former incarnation, which the new one refuses, for a gang that then starts over and over.
describe('a ticket', () => {
  test('is asked for again if a worker of the gang has a new incarnation', async () => {
    const rig = await createAdvisedRig({ workers: 6 })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE, count: 4, gang: true }])
    const step = rig.decider!.cell.activeDecider!.registry.jobs.get(id)!.occurrences[0]!.steps[0]!
    await rig.until(() => step.tickets.size > 0)
    rig.fleet.workers.get(step.tasks.at(0)!.worker!.report.id)!.restart()
    await rig.until(() => step.doneTasks === 4, 2 * START_LIMIT_MS)
    expect(rig.fleet.violations).toEqual([])
  })
})

// Guards against a step that gives all its questions to the one node that can't call the advice service, because that node always looks idle.
describe('a node whose calls to the advice service fail', () => {
  for (const fault of ['refused', 'silent', 'throws'] as const) {
    for (const node of ['n0', 'n1', 'n2', 'n3']) {
      test(`does not keep a step from its workers if the calls of ${node} are: ${fault}`, async () => {
        const rig = await createAdvisedRig({ nodes: 5, workers: 8, adviceFault: each => each === node ? fault : undefined })
        const single = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
        const gang = await rig.submit(rig.nodes[0]!, [{ size: SIZE, count: 4, gang: true }])
        await rig.until(() => rig.fleet.firstStart.has(`${single.id}.0.0.0`) && rig.fleet.firstStart.has(`${gang.id}.0.0.3`), START_LIMIT_MS)
      })
    }
  }

  test('does not keep a step from its workers after an error in the decider', async () => {
    let isBroken = true
    const rig = await createAdvisedRig({ nodes: 1, workers: 8, adviceFault: () => isBroken ? 'throws' : undefined })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.run(3000)
    isBroken = false
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), START_LIMIT_MS)
    expect(rig.nodes[0]!.log.lines.some(({ event }) => event.name === 'cell-fault')).toEqual(true)
  })

  test('is given calls again once it can call', async () => {
    let isBroken = true
    const rig = await createAdvisedRig({ nodes: 1, workers: 8, adviceFault: () => isBroken ? 'refused' : undefined })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.run(3000)
    isBroken = false
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), START_LIMIT_MS)
  })

  test('does not keep a step from its workers if only a node that makes no long calls is left', async () => {
    const rig = await createAdvisedRig({ nodes: 5, workers: 8, adviceFault: node => node === 'n4' ? undefined : 'refused' })
    const { id } = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), START_LIMIT_MS)
  })
})
