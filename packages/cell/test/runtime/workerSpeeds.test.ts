import { describe, test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@rattanstep/core'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import type { WorkerState } from '../../src/runtime/model.js'
import { planRound } from '../../src/runtime/planRound.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import { Registry } from '../../src/runtime/Registry.js'
import { speedClassOf } from '../../src/speeds/speedClass.js'
import { noteCompletedRun, updateSpeeds } from '../../src/speeds/noteCompletedRun.js'
import { WorkerSpeeds } from '../../src/speeds/WorkerSpeeds.js'
import type { Route, Step } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const ROUTE: Route = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 1, maxAttempts: 3, stretch: 2, latencyObjective: 100 }

/** Workers w0, w1 and so on of four cores with the given speeds, on which one round plans the jobs. */
class SpeedRig {
  readonly registry = new Registry()
  private jobs = 0

  constructor (speeds: number[]) {
    speeds.forEach((speed, index) => Object.assign(this.registry.ensureWorker({ id: `w${index}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 4000, memory: 1000, accelerators: 0 }, labels: [], born: 1 }), { speed, speedClass: speedClassOf(speed) }))
  }

  worker (index: number): WorkerState {
    return this.registry.workers.get(`w${index}`)!
  }

  add (step: Partial<Step>): ReturnType<Registry['addJob']> {
    return this.registry.addJob({ id: (this.jobs++).toString(16).padStart(16, '0'), route: 'r', spec: '', steps: [stepOf({ estimate: 1000, ...step })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
  }

  /** Has a worker's capacity be in use until a time, in ms after the start. */
  occupy (index: number, until: number, cpu = 4000): void {
    const task = this.add({ size: { cpu, memory: 1, accelerators: 0 }, estimate: until }).occurrences[0]!.steps[0]!.tasks.at(0)!
    Object.assign(task, { phase: 'running', run: 1, confirmedAt: 0, projectedEndAt: until })
    this.registry.assign(task, this.worker(index))
    this.registry.updateReadySteps(task.step.occurrence)
  }

  /** @returns ids of the workers on which one round places tasks, or of those that it holds for gangs */
  plan (now: number, route: Partial<Route> = {}): { placed: string[], held: string[] } {
    const ranked = rankSteps(this.registry.readySteps, { routeOf: () => ({ ...ROUTE, ...route }), now })
    const { placements, holds } = planRound(ranked, { workersOf: () => [...this.registry.workers.values()], now, adviceRound: new AdviceScheduler().startRound(['n'], now) })
    return { placed: placements.map(({ worker }) => worker.report.id).sort(), held: [...holds.values()].flatMap(({ tasksByWorker }) => [...tasksByWorker.keys()]).sort() }
  }
}

/** Adds the runs of steps with a task on some of nine workers, of which each third has one speed; declared durations are off by a share. */
function learn (speeds: [number, number, number], { steps = 12, error = 0.2, stepError = 0, coverage = 1, route = 'r', learned = new WorkerSpeeds() } = {}): WorkerSpeeds {
  const random = new SeededRandom(1)
  for (let step = 0; step < steps; step++) {
    const common = 1 + stepError * (2 * random.next() - 1)
    for (let worker = 0; worker < 9; worker++) {
      if (coverage < 1 && random.next() > coverage) continue
      learned.add({ worker: `w${worker}`, kind: `k${worker % 3}`, route, step: `${route}${step}`, declared: 1000, actual: 1000 * common * (1 - error + 2 * error * random.next()) / speeds[worker % 3]! })
    }
  }
  return learned
}

function estimates (learned: WorkerSpeeds): number[] {
  return Array.from({ length: 9 }, (_, worker) => speedClassOf(learned.estimateOf(`w${worker}`, `k${worker % 3}`)))
}

// The loads UNEVEN_LARGE_WORKERS and UNEVEN_SMALL_WORKERS.
describe('the learned speed of workers', () => {
  test('is near the true one after two dozen runs on each although declared durations are off by a fifth', () => {
    expect(estimates(learn([0.8, 1, 1.25], { steps: 24 }))).toEqual([-1, 0, 1, -1, 0, 1, -1, 0, 1])
  })

  // Guards against taking a step that was declared too long for a fast worker.
  test('does not follow what all runs of a step have in common', () => {
    expect(estimates(learn([0.8, 1, 1.25], { steps: 120, error: 0.05, stepError: 0.7, coverage: 0.5 }))).toEqual([-1, 0, 1, -1, 0, 1, -1, 0, 1])
  })

  // Guards against urgent jobs, whose durations say little, drowning what the batches show.
  test('hardly changes by runs of a route whose durations are off by nine tenths', () => {
    const learned = learn([0.8, 1, 1.25], { steps: 60 })
    expect(estimates(learn([1, 1, 1], { error: 0.9, route: 'urgent', steps: 12, learned }))).toEqual([-1, 0, 1, -1, 0, 1, -1, 0, 1])
  })

  test('is that of its kind for a worker without runs', () => {
    expect(speedClassOf(learn([0.6, 1, 1.6], { steps: 60 }).estimateOf('new', 'k2'))).toEqual(2)
  })

  // Guards against taking all workers for slow where all durations are declared too short: tasks with little time would then find none that is fast enough.
  test('is relative to the mean one', () => {
    const learned = learn([0.4, 0.5, 0.625], { steps: 60 })
    learned.update()
    expect(estimates(learned)).toEqual([-1, 0, 1, -1, 0, 1, -1, 0, 1])
  })

  // Guards a deployment of equal workers against a change of its plans by chance.
  test('has no effect while workers are equal', () => {
    const { registry } = new SpeedRig([1, 1, 1, 1, 1, 1, 1, 1, 1])
    expect(updateSpeeds(learn([1, 1, 1], { steps: 60 }), registry.workers.values())).toEqual(false)
    expect(updateSpeeds(learn([0.8, 1, 1.25], { steps: 24 }), registry.workers.values())).toEqual(true)
  })

  // Guards against speeds from runs whose duration depends on other workers, on the network, or on a start that nobody has seen.
  test('ignores runs that show something else', () => {
    const rig = new SpeedRig([1])
    const learned = new WorkerSpeeds()
    const complete = (step: Partial<Step>, state: object = {}): void => {
      const task = rig.add(step).occurrences[0]!.steps[0]!.tasks.at(0)!
      Object.assign(task, { run: 1, sentRun: 1, confirmedAt: 100, ...state })
      rig.registry.assign(task, rig.worker(0))
      noteCompletedRun(learned, task, 350)
    }
    complete({ gang: true })
    complete({ sameRack: true })
    complete({ filling: true })
    complete({ checkpoints: true }, { run: 2, sentRun: 2 })
    complete({}, { sentRun: 0 })
    expect(learned.estimateOf('w0', '')).toEqual(1)
    complete({})
    expect(learned.estimateOf('w0', '') > 1).toEqual(true)
  })
})

describe('planning with uneven speeds', () => {
  // UNEVEN_SMALL_WORKERS: urgent tasks on slow workers were late, while batches with slack ran on fast ones.
  test('places a task that has little time on a fast worker and one with slack on the slowest', () => {
    const urgent = new SpeedRig([0.6, 1.6, 1])
    urgent.add({})
    expect(urgent.plan(0, { stretch: 1.5, latencyObjective: 100 }).placed).toEqual(['w1'])
    const slack = new SpeedRig([1, 1.6, 0.6])
    slack.add({})
    expect(slack.plan(0, { stretch: 6 }).placed).toEqual(['w2'])
  })

  // Guards against tasks that run on any worker because the advice service was asked about the wrong ones.
  test('asks the advice service about fast workers for a task that has little time', () => {
    const rig = new SpeedRig([...Array.from({ length: 20 }, () => 0.6), ...Array.from({ length: 20 }, () => 1.6)])
    rig.add({})
    const route = { ...ROUTE, stretch: 1.5, advice: { base: 20, perWorker: 1, validity: 1500 } }
    const { adviceRequests } = planRound(rankSteps(rig.registry.readySteps, { routeOf: () => route, now: 0 }), { workersOf: () => [...rig.registry.workers.values()], now: 0, adviceRound: new AdviceScheduler().startRound(['n'], 0) })
    expect(adviceRequests.length > 0 && adviceRequests.every(({ workers }) => workers.every(({ speed }) => speed === 1.6))).toEqual(true)
  })

  // UNEVEN_SMALL_WORKERS: gangs that held slow workers ended late, although fast ones came free soon after.
  test('schedules a gang where it ends first, not where it starts first', () => {
    const rig = new SpeedRig([0.6, 0.6, 1.6, 1.6])
    rig.occupy(0, 400)
    rig.occupy(1, 400)
    rig.occupy(2, 600)
    rig.occupy(3, 600)
    rig.add({ count: 2, gang: true, size: { cpu: 4000, memory: 1, accelerators: 0 } })
    expect(rig.plan(100, { stretch: 4 }).held).toEqual(['w2', 'w3'])
  })
})

describe('a decider', () => {
  /** @returns a rig whose workers run at 0.6, 1 and 1.6 in turn and have each run a task of many jobs */
  async function createUnevenRig (): Promise<CellRig> {
    const rig = await createSteadyRig({ workers: 9, cpu: 1000 })
    for (let index = 0; index < 9; index++) rig.fleet.workers.get(`w${index}`)!.speed = [0.6, 1, 1.6][index % 3]!
    await runJobs(rig)
    return rig
  }

  async function runJobs (rig: CellRig): Promise<void> {
    for (let job = 0; job < 30; job++) await rig.submit(rig.decider!, [{ count: 9, perWorker: 1, estimate: 300 }])
    await rig.run(20_000)
  }

  function knowsSpeeds (rig: CellRig): boolean {
    const { lowest, highest } = rig.decider!.cell.activeDecider!.workerSpeeds
    return lowest < 0.75 && highest > 1.15
  }

  // Guards against estimates that no run feeds: the fakes end the tasks of some workers later than declared.
  test('learns the speeds from the runs that it has ordered and logs that they are uneven', async () => {
    const rig = await createUnevenRig()
    expect(knowsSpeeds(rig)).toEqual(true)
    expect(rig.decider!.log.lines.find(({ event }) => event.name === 'worker-speeds-judged')?.fields?.uneven).toEqual(true)
  })

  // Guards against a successor that never learns the speeds, because they are on no record.
  test('learns the speeds anew after it has replaced another', async () => {
    const rig = await createUnevenRig()
    rig.kill(rig.decider!)
    await rig.until(() => rig.decider !== undefined)
    expect(rig.decider!.cell.activeDecider!.workerSpeeds).toEqual({ lowest: 1, highest: 1, spread: 0 })
    await rig.run(1000)
    await runJobs(rig)
    expect(knowsSpeeds(rig)).toEqual(true)
  })
})
