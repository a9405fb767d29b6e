import { describe, test } from 'node:test'
import { expect } from 'earl'
import { OrganisationTable } from '../../src/index.js'
import { Registry } from '../../src/runtime/Registry.js'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { planRound } from '../../src/runtime/planRound.js'
import type { RoundPlan } from '../../src/runtime/planRound.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import type { Job } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const CAP = { cpu: 0, memory: 0, accelerators: 0 }
const ROUTE = { name: 'r', service: 's', priority: 0, maxAttempts: 2, stretch: 2, latencyObjective: 1000 }

function jobOf (id: string, acceptedAt: number, organisation = 'a'): Job {
  return { id, route: 'r', spec: '', steps: [stepOf({})], acceptedAt, organisation, organisationTerms: { weight: 1, cap: CAP } }
}

function beyondRate (rig: CellRig): string[] {
  return [...rig.decider!.cell.activeDecider!.registry.jobs.values()].filter(state => state.isBeyondRate).map(({ job }) => job.id)
}

/** Plans a gang of four tasks beside a run on a worker of four cores. */
function planGangBeside (used: number, { isBeyondRate = false, age = 0, ...rest }: { isBeyondRate?: boolean, age?: number, organisation?: undefined }): RoundPlan {
  const registry = new Registry()
  const worker = registry.ensureWorker({ id: 'w', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 4000, memory: 1000, accelerators: 0 }, labels: [], born: 1 })
  const [running] = registry.addJob({ ...jobOf('running', 0), steps: [stepOf({ size: { cpu: used, memory: 1, accelerators: 0 } })] }, { now: 0, age: 0, wall: 0 }).occurrences[0]!.steps[0]!.tasks
  running!.phase = 'running'
  registry.assign(running!, worker)
  const gang = registry.addJob({ ...jobOf('gang', 0), ...rest, steps: [stepOf({ count: 4, gang: true, estimate: 3000 })] }, { now: -age, age: 0, wall: 0 })
  gang.isBeyondRate = isBeyondRate
  return planRound(rankSteps([gang.occurrences[0]!.steps[0]!], { routeOf: () => ROUTE, now: 0 }), { workersOf: () => [worker], now: 0, adviceRound: new AdviceScheduler().startRound([], 0) })
}

describe('jobs beyond the rate of their organisation', () => {
  // Guards against a burst that delays others, and against one that is served before work that callers wait for.
  test('rank after late jobs within the rate and before those that are of no use', () => {
    const registry = new Registry()
    const add = (id: string, age: number, isBeyondRate: boolean): void => { registry.addJob(jobOf(id, 0), { now: 100_000 - age, age: 0, wall: 0 }).isBeyondRate = isBeyondRate }
    add('useless', 50_000, false)
    add('burst', 0, true)
    add('late burst', 2000, true)
    add('late', 2000, false)
    add('useful', 0, false)
    expect(rankSteps(registry.readySteps, { routeOf: () => ROUTE, now: 100_000 }).map(({ step }) => step.occurrence.job.job.id)).toEqual(['useful', 'late', 'burst', 'late burst', 'useless'])
  })

  // Guards against capacity that is kept empty for a burst, or kept from work that is owed.
  test('hold no capacity for their gangs, which start when they fit, unless most of it is free', () => {
    expect([planGangBeside(3000, {}).holds.size, planGangBeside(3000, { isBeyondRate: true }).holds.size, planGangBeside(1000, { isBeyondRate: true }).holds.size, planGangBeside(0, { isBeyondRate: true }).placements.length]).toEqual([1, 0, 1, 4])
  })

  // Guards against capacity that is kept from work in time for a late gang, and against a change where no organisation is configured.
  test('hold no capacity for late gangs of an organisation either', () => {
    expect([planGangBeside(3000, { age: 5000 }).holds.size, planGangBeside(3000, { age: 5000, organisation: undefined }).holds.size, planGangBeside(0, { age: 5000 }).placements.length]).toEqual([0, 1, 4])
  })

  // Guards against a successor that takes a burst for work that is owed, because it sees none of the jobs within the rate any more.
  test('are the same for a successor, also where other jobs have ended or changed the order of their arrival', () => {
    const jobs = Array.from({ length: 30 }, (_, index) => jobOf(String(index), 100 * index))
    const former = new OrganisationTable(new Registry())
    const beyond = jobs.filter(job => former.isBeyondRate(job, 5000)).map(({ id }) => id)
    expect(beyond.length).toEqual(24)
    expect([...new OrganisationTable(new Registry()).restoreRates([...jobs.slice(20), ...jobs], 5000)]).toEqual(beyond)
  })

  // Guards against a node whose clock is ahead: its job would leave the organisation without tokens until that time.
  test('are not caused by a submission time in the future', () => {
    const table = new OrganisationTable(new Registry())
    expect([table.isBeyondRate(jobOf('0', 900_000), 1000), table.isBeyondRate(jobOf('1', 1000), 1000), ...Array.from({ length: 4 }, (_, index) => table.isBeyondRate(jobOf(String(index), 4000), 4000))]).toEqual([false, false, false, false, false, false])
  })

  // Guards against the loss of the flag at a takeover, where jobs that were announced early reach the successor before older ones.
  test('are known after a takeover', async () => {
    const rig = await createSteadyRig({ workers: 1, cpu: 1000, behaviour: () => ({ duration: 3000, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }), organisations: [{ name: 'a', keys: [], weight: 1, cap: CAP }] })
    const decider = rig.decider!
    const follower = rig.nodes.find(node => node !== decider)!
    for (let index = 0; index < 8; index++) await rig.submit(follower, [{ estimate: 3000 }], 'r', 'a')
    const before = beyondRate(rig)
    expect(before.length).toEqual(4)
    rig.kill(decider)
    await rig.submit(follower, [{ estimate: 3000 }], 'r', 'a')
    await rig.until(() => rig.decider !== undefined)
    await rig.run(1500)
    expect(beyondRate(rig).slice(0, 4)).toEqual(before)
  })
})
