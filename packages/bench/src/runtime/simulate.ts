import { FakeClock, SeededRandom } from '@rattanstep/core'
import type { AdmissionOptions } from '@rattanstep/policy'
import type { RunPlan } from '../types/work.js'
import { WorkerPool } from './WorkerPool.js'
import { CentralScheduler } from './CentralScheduler.js'
import { DirectScheduler } from './DirectScheduler.js'
import type { WorkerPicker } from './DirectScheduler.js'
import { generateWork } from './generateWork.js'
import { filterAndWeightedSum, leastConnections, pickRandom, roundRobin, shortestExpectedDelay } from './picks.js'
import { PolicyScheduler } from './PolicyScheduler.js'
import type { ReturnPolicy } from './PolicyScheduler.js'
import { Recorder } from './Recorder.js'
import type { Scheduler, SchedulerOptions } from './Scheduler.js'

/** Step in which the simulation advances after the last arrival, until all work has ended. */
const DRAIN_STEP_MS = 1000

/**
 * Names of the schedulers to compare. `bound` is the `CentralScheduler`; `first-version` and `rattanstep` run the product's
 * decision code; the others use a `DirectScheduler`.
 */
export type SchedulerName =
  | 'round-robin'
  | 'random'
  | 'least-connections'
  | 'shortest-delay'
  | 'weighted-sum'
  | 'first-version'
  | 'rattanstep'
  | 'bound'

/** Settings of the product's decision code that a scenario varies; see `PolicyOptions`. */
export interface Settings {
  heartbeat?: number
  turnover?: number
  prefersOwnNode?: boolean
  returnPolicy?: ReturnPolicy
  admission?: Partial<AdmissionOptions>
}

/** Settings that turn off the mechanisms that the first version of the decision code did not have. */
const FIRST_VERSION: Partial<AdmissionOptions> = { redirectAfter: Infinity, minLongFraction: 0.5, lentReserveFraction: 0 }

const PICK_FACTORIES: Partial<Record<SchedulerName, () => WorkerPicker>> = {
  'round-robin': roundRobin,
  random: () => pickRandom,
  'least-connections': () => leastConnections,
  'shortest-delay': () => shortestExpectedDelay,
  'weighted-sum': () => filterAndWeightedSum
}

/**
 * Simulates one run.
 *
 * @param plan - workload, load, faults and duration of the run
 * @param name - name of the scheduler
 * @param settings - settings of the decision code, which only apply to `rattanstep`
 * @returns the recorder with the figures of the run
 */
export function simulate (plan: RunPlan, name: SchedulerName, settings: Settings = {}): Recorder {
  const clock = new FakeClock()
  const { workers, slots } = plan.workload
  const recorder = new Recorder({ slots: workers * slots, until: plan.duration })
  const pool = new WorkerPool({ clock, recorder, workers, slots })
  const scheduler = createScheduler(plan, name, settings, { clock, pool, recorder })
  const works = generateWork(plan)
  // The factor 7 spreads the failing workers over different owners, because owners are assigned in turn.
  for (let index = 0; index < plan.failingWorkers; index++) {
    clock.schedule(plan.duration / 4, () => { pool.machines[index * 7]!.failing = true })
  }
  for (const work of works) {
    clock.tick(work.arrival - clock.now())
    recorder.arrive(work, work.arrival)
    scheduler.submit(work)
    if (work.withdrawnAt === Infinity) continue
    clock.schedule(work.withdrawnAt - work.arrival, () => { if (work.state === 'waiting') scheduler.withdraw(work) })
  }
  clock.tick(plan.duration - clock.now())
  while (recorder.openCount > 0) clock.tick(DRAIN_STEP_MS)
  return recorder
}

function createScheduler (plan: RunPlan, name: SchedulerName, settings: Settings, options: SchedulerOptions): Scheduler {
  const classes = plan.workload.classes.map(kind => kind.rule)
  if (name === 'bound') {
    const order = [...classes].sort((a, b) => b.priority - a.priority).map(rule => rule.name)
    return new CentralScheduler({ ...options, order })
  }
  const createPick = PICK_FACTORIES[name]
  if (createPick !== undefined) {
    // The offset of the seed keeps picks independent of the random numbers that generate the work.
    const declaredTimes = new Map(classes.map(rule => [rule.name, rule.expected]))
    return new DirectScheduler({ ...options, declaredTimes, pick: createPick(), random: new SeededRandom(plan.seed + 2) })
  }
  if (name === 'first-version') return new PolicyScheduler({ ...options, classes, seed: plan.seed, prefersOwnNode: false, admission: FIRST_VERSION })
  const admission = settings.admission ?? {}
  const taskClasses = new Set(plan.workload.classes.filter(kind => kind.runsAsTasks).map(kind => kind.rule.name))
  return new PolicyScheduler({ ...options, classes, seed: plan.seed, ...settings, admission, taskClasses })
}
