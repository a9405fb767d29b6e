import { CellRig } from './CellRig.js'
import { commonFaults, describeFault, pickTarget, schedule } from './commonFaults.js'
import { createRandom } from './createRandom.js'
import { findStaleState } from './findStaleState.js'
import { hashText, mixHashes } from '../../src/runtime/hashText.js'
import { RandomJobs } from './RandomJobs.js'
import { StartChecker } from './StartChecker.js'
import { WorkerChanges, workerFaults } from './workerFaults.js'

/** Result of a run. */
export interface RandomStartsRun {
  /** Violations of the cell's guarantees, tasks that could run and didn't, and state of the decider that doesn't match the workers at the end. */
  violations: string[]
  /** Accepted jobs that have not ended although nothing of theirs runs and their waiting tasks have room. */
  unfinished: string[]
  faults: string[]
  rig: CellRig
}

/** Period in which faults are injected, period in which jobs are submitted, and whole duration. */
const FAULT_PERIOD_MS = 12_000
const SUBMISSION_PERIOD_MS = 30_000
const DURATION_MS = 55_000
/** Time in which every job that has room at the end must end: a start, a call for advice, and two steps of the longest jobs that end. */
const LAST_JOBS_MS = 35_000
/** Kinds of jobs that need not end: they last, or crash workers. */
const KINDS_WITHOUT_END = ['lasting', 'endless gang', 'poison']
/** Interval between checks. */
const CHECK_INTERVAL_MS = 100
/** Time after the end of a fault until its last effect: the longest delay of an order, and the time until a removed worker is replaced. */
const FAULT_TAIL_MS: Record<string, number> = { 'worker late': 10_000, 'worker leaves': 3000, 'writes late': 3000, 'planned stop': 3000 }
/** Time from a crash until the worker or its replacement is back. */
const CRASH_TAIL_MS = 3000
const ADVICE = { base: 630, perWorker: 9, validity: 1500 }

/** Runs jobs of many kinds while workers come, go and change, and checks that in calm times each task that has room starts soon. */
export async function runRandomStarts (seed: number): Promise<RandomStartsRun> {
  const random = createRandom(seed)
  const pick = <Item>(items: Item[]): Item => items[Math.floor(random() * items.length)]!
  const areMostGangs = seed % 2 === 0
  const jobs = new RandomJobs(createRandom(seed + 1_000_000), { crashesOf: task => rig.fleet.crashes.get(task) ?? 0, areMostGangs })
  const allowedShare = 0.25 + random() * 0.25
  const allows = (worker: string, step: string): boolean => mixHashes(hashText(step), hashText(worker)) % 1000 < allowedShare * 1000
  const rig: CellRig = new CellRig({
    nodes: 5,
    workers: (areMostGangs ? 20 : 10) + Math.floor(random() * 14),
    cpu: 16_000,
    behaviour: task => jobs.behaviour(task),
    route: { name: 'free', priority: Math.floor(random() * 3), maxAttempts: 50 },
    others: [{ name: 'advised', priority: Math.floor(random() * 2), maxAttempts: 50, advice: ADVICE }],
    advice: (_, workers) => ADVICE.base + workers * ADVICE.perWorker,
    allows: (worker, _born, step) => allows(worker, step)
  })
  rig.fleet.needsTicket = task => jobs.jobs.get(task.slice(0, 16))!.job.route === 'advised'
  const changes = new WorkerChanges(rig, random)
  const checker = new StartChecker(rig, {
    allows: (worker, step, { job }) => job.route !== 'advised' || allows(worker, step),
    needsAdvice: ({ job }) => job.route === 'advised',
    isReady: worker => !worker.isDown && !worker.isCutOff && worker.report.state === 'ready'
  })
  await rig.until(() => rig.decider !== undefined)
  await rig.run(400)
  const startedAt = rig.clock.now()
  const faults = scheduleFaults(rig, changes, checker, { pick, random })
  let nextSubmissionAt = startedAt
  while (rig.clock.now() < startedAt + DURATION_MS) {
    if (rig.clock.now() >= nextSubmissionAt && rig.clock.now() < startedAt + SUBMISSION_PERIOD_MS) {
      submit(rig, jobs, checker, { pick, isPoisonous: rig.clock.now() < startedAt + FAULT_PERIOD_MS })
      nextSubmissionAt += 100 + random() * 1500
    }
    await rig.run(CHECK_INTERVAL_MS)
    handleCrashes(rig, changes, checker, random)
    checker.check()
  }
  const ids = [...checker.jobs].filter(([, made]) => !KINDS_WITHOUT_END.includes(made.kind) && !checker.isBusy(made)).map(([id]) => id)
  // Jobs whose room has become free only now are given the time to run.
  await rig.run(LAST_JOBS_MS)
  const phases = await rig.phases(ids)
  return {
    // The fleet counts each crash against all tasks on the worker, but most crashes here are faults of the workers themselves.
    violations: [...rig.fleet.violations.filter(({ rule }) => rule !== 'over-budget').map(violation => JSON.stringify(violation)), ...checker.violations, ...findStaleState(rig.decider!.cell.activeDecider!.registry, rig.fleet)],
    unfinished: ids.flatMap((id, index) => phases[index] === 'completed' || phases[index] === 'failed' ? [] : [`${id} ${phases[index]} ${checker.jobs.get(id)!.kind}`]),
    faults,
    rig
  }
}

/** Injects random faults for a while; returns the list to which each adds a line. */
function scheduleFaults (rig: CellRig, changes: WorkerChanges, checker: StartChecker, { pick, random }: { pick: <Item>(items: Item[]) => Item, random: () => number }): string[] {
  const faults: string[] = []
  const count = 4 + Math.floor(random() * 8)
  for (let index = 0; index < count; index++) {
    schedule(rig, random() * FAULT_PERIOD_MS, () => {
      const target = pickTarget(rig, pick, random)
      const [name, action] = pick(random() < 0.5 ? commonFaults(rig, target, random) : workerFaults(rig, changes, target, random))
      action()
      checker.noteFault(rig.clock.now() + target.span + (FAULT_TAIL_MS[name] ?? 0))
      faults.push(describeFault(rig, name, target))
    })
  }
  return faults
}

/** Submits a job at a random node without waiting for the outcome. */
function submit (rig: CellRig, jobs: RandomJobs, checker: StartChecker, { pick, isPoisonous }: { pick: <Item>(items: Item[]) => Item, isPoisonous: boolean }): void {
  const living = rig.nodes.filter(node => !node.clock.isDead)
  if (living.length === 0) return
  const node = pick(living)
  checker.noteSubmission()
  const made = jobs.create(node.store.now(), { isPoisonous })
  node.cell.gateway.submit(made.job, rig.clock.now() + 2000).then(outcome => {
    if (outcome.kind === 'accepted') checker.jobs.set(made.job.id, made)
  }, error => { throw error })
}

/** Counts a worker that is down as a fault, and replaces half of the workers that have crashed. */
function handleCrashes (rig: CellRig, changes: WorkerChanges, checker: StartChecker, random: () => number): void {
  for (const worker of [...rig.fleet.workers.values()]) {
    if (!worker.isDown) continue
    checker.noteFault(rig.clock.now() + CRASH_TAIL_MS)
    if (random() < 0.05) changes.replace(worker, random() * 3000)
  }
}
