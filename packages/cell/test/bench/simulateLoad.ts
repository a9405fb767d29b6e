import { SeededRandom } from '@rattanstep/core'
import { judgeBacklog, takeToken } from '@rattanstep/policy'
import type { BacklogReport, TokenBucket } from '@rattanstep/policy'
import { describeJob } from '../../src/runtime/AdmissionGate.js'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { applyAdvice, asAsked } from '../../src/runtime/applyAdvice.js'
import { BacklogMeter } from '../../src/runtime/BacklogMeter.js'
import { Registry } from '../../src/runtime/Registry.js'
import { hashFraction } from '../../src/runtime/hashText.js'
import type { GangHold, JobState, StepState, Task, WorkerState } from '../../src/runtime/model.js'
import { PreemptionRound } from '../../src/runtime/PreemptionRound.js'
import { planRound } from '../../src/runtime/planRound.js'
import { MAX_USEFUL_OBJECTIVE_RATIO, objectiveSpan, rankSteps } from '../../src/runtime/rankSteps.js'
import { OrganisationTable } from '../../src/index.js'
import { noteCompletedRun, SPEED_UPDATE_INTERVAL_MS, updateSpeeds } from '../../src/speeds/noteCompletedRun.js'
import { WorkerSpeeds } from '../../src/speeds/WorkerSpeeds.js'
import type { Job, OrganisationTerms, Route } from '../../src/index.js'
import { stepOf } from '../support/CellRig.js'

/** Jobs of one kind in a load. */
export interface JobKind {
  route: Route
  /** Share of the workers that the advice service allows for a step. */
  allowedShare: number
  /** Mean number of jobs a second. */
  rate: number
  /** Mean number of tasks of a step, and the most. */
  width: [mean: number, max: number]
  /** Mean number of thousandths of a core of a task, and the most. */
  cpu: [mean: number, max: number]
  /** Mean memory of a task in MB. */
  memory: number
  /** Mean duration of a task in ms. */
  duration: number
  /** Share of the jobs whose tasks only work together. */
  gangShare: number
  /** Mean number of steps. */
  steps: number
  /** Worth of a job of mean size that ends within its objective; a late one is worth a fifth. */
  worth: number
  /** Share of the steps whose tasks write checkpoints; none by default. */
  checkpointShare?: number
  /** How far declared durations are off, as a share of them, if not by `ESTIMATE_ERROR`. */
  estimateError?: number
}

/** An organisation in a load. */
export interface LoadOrganisation extends OrganisationTerms {
  name: string
  /** Usual number of jobs a second of all kinds; only its ratio to that of the other organisations counts. */
  rate: number
}

/** A load on a cell. */
export interface Load {
  kinds: JobKind[]
  nodes: number
  workers: number
  /** Thousandths of a core, and MB of memory, of each worker. */
  capacity: { cpu: number, memory: number }
  /** ms in which jobs arrive; jobs that have not ended three times as late as they should count as failed. */
  duration: number
  /** Speeds of the workers, in turn; `SPEEDS` by default. */
  speeds?: number[]
  /** Periods in which a kind arrives at a multiple of its rate. */
  bursts: Array<{ kind: number, from: number, until: number, factor: number }>
  /** Variation of all rates about their means: amplitude as a share of the mean, and period in ms. */
  wave?: { amplitude: number, period: number }
  /** Organisations that submit the jobs. */
  organisations?: LoadOrganisation[]
  /** Periods in which an organisation submits a multiple of its usual rate, in addition to the load of the others. */
  organisationBursts?: Array<{ organisation: number, from: number, until: number, factor: number }>
}

/** What the callers of an organisation got for the jobs within its rate. */
export interface OrganisationResult {
  name: string
  jobs: number
  beyondRate: number
  /** Worth earned / worth owed, where a job counts as its kind's worth. Jobs beyond the rate are owed nothing. */
  worth: number
}

/** What the callers of a kind got. */
export interface KindResult {
  name: string
  jobs: number
  inTime: number
  late: number
  failed: number
  /** Number of the failed ones that were refused. */
  refused: number
  /** Worth earned / worth owed. */
  worth: number
  /** Worth earned / worth owed of the largest tenth of the jobs and of the fifth below it. */
  largest: number
  large: number
  /** Number of runs that were stopped for more urgent work, and the core-seconds that these stops cost. */
  stops: number
  lost: number
}

/** Time from a placement to the start of the run, from its end to the next round, and between rounds, in ms. */
const START_MS = 25
const END_MS = 30
const ROUND_MS = 5
/** Time that the message to and from a node adds to a call for advice, in ms. */
const ADVICE_TRANSFER_MS = 10
/** Time after which the progress of a run shows when it will end, in ms. */
const PROGRESS_MS = 600
/** Spread of the widths and sizes of tasks: standard deviation of the logarithm. */
const SPREAD = 0.7
/** How far declared durations are off. */
const ESTIMATE_ERROR = 0.2
/** Time from an order to stop until the run's end is known, and time that a run takes to restore a checkpoint: least and most, in ms. */
const STOP_MS = [60, 230] as const
const RESTORE_MS = [100, 600] as const
/** Age of the decider's report of its backlog when nodes use it, and time between reports, in ms. */
const BACKLOG_AGE_MS = 300
/** Speeds of the workers, in turn. */
const SPEEDS = [0.8, 1, 1.25]

interface Event {
  at: number
  run: () => void
}

interface Outcome {
  organisation?: LoadOrganisation
  isBeyondRate: boolean
  kind: number
  work: number
  submittedAt: number
  span: number
  endedAt: number
  isRefused: boolean
}

/** What the cell does while more is asked for than fits. */
export interface OverloadOptions {
  /** Whether runs are stopped for more urgent work; false by default. */
  preempts?: boolean
  /** Whether jobs are refused that would end too late to be of any use; false by default. */
  refuses?: boolean
}

/** A run in the simulation. */
interface SimulatedRun {
  run: number
  beganAt: number
  endsAt: number
  /** Share of the task that was done when the run began. */
  done: number
}

/**
 * Plays a load against the cell's planning, without processes, links or store.
 *
 * @param load - the load
 * @param seed - seed of the jobs
 * @param options - what the cell does while more is asked for than fits
 * @returns what the callers of each kind got
 */
export function simulateLoad (load: Load, seed: number, options: OverloadOptions = {}): KindResult[] {
  return simulateOrganisations(load, seed, options).kinds
}

/**
 * Plays a load of organisations against the cell's planning.
 *
 * @param load - the load
 * @param seed - seed of the jobs
 * @param options - what the cell does while more is asked for than fits
 * @returns what the callers of each kind and of each organisation got for the jobs within the organisations' rates
 */
export function simulateOrganisations (load: Load, seed: number, { preempts = false, refuses = false }: OverloadOptions = {}): { kinds: KindResult[], organisations: OrganisationResult[] } {
  const random = new SeededRandom(seed)
  const registry = new Registry()
  const table = new OrganisationTable(registry)
  table.update((load.organisations ?? []).map(organisation => ({ ...organisation, keys: [] })))
  const scheduler = new AdviceScheduler()
  const routes = new Map(load.kinds.map(({ route }) => [route.name, route]))
  const nodes = Array.from({ length: load.nodes }, (_, index) => `n${index}`)
  for (let index = 0; index < load.workers; index++) {
    registry.ensureWorker({ id: `w${index}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { ...load.capacity, accelerators: 0 }, labels: [`r1-${Math.floor(index / 12)}`], born: 1 })
  }
  const workers = [...registry.workers.values()]
  const events = new EventQueue()
  const outcomes: Outcome[] = []
  const nodeIdleAt = new Map<string, number>()
  // A generator of its own, so that the loads without organisations stay the same.
  const shareRandom = new SeededRandom(1000 + seed)
  const buckets = new Map<string, TokenBucket>()
  const estimateErrors = new Map(load.kinds.map(({ route, estimateError }) => [route.name, estimateError ?? ESTIMATE_ERROR]))
  const learned = new WorkerSpeeds()
  let now = 0
  let roundAt = -1
  let holds: Map<StepState, GangHold> | undefined

  const requestRound = (): void => {
    if (roundAt >= now) return
    roundAt = now + ROUND_MS
    events.add(roundAt, plan)
  }
  const finishJob = (job: JobState, outcome: Outcome): void => {
    outcome.endedAt = now
    registry.archive(job.job.id, { phase: 'completed', at: now, version: 0 })
  }
  const endTask = (task: Task, outcome: Outcome): void => {
    noteCompletedRun(learned, task, now)
    registry.release(task)
    task.phase = 'done'
    const { step } = task
    step.doneTasks++
    registry.updateReadySteps(step.occurrence)
    if (step.occurrence.steps.every(each => each.doneTasks === each.tasks.length)) finishJob(step.occurrence.job, outcome)
    requestRound()
  }
  const outcomeOf = new Map<string, Outcome>()
  const runs = new Map<Task, SimulatedRun>()
  const doneBefore = new Map<Task, number>()
  const durations = new Map<Task, number>()
  const backlogMeter = new BacklogMeter(registry)
  let backlog: BacklogReport | undefined
  let sentBacklog: BacklogReport | undefined
  let nextReportAt = 0
  // Not in the queue of events: there, reports would change the order of simultaneous events, and with it the placements, also if nothing is refused.
  const reportBacklog = (until: number): void => {
    for (; nextReportAt <= until; nextReportAt += BACKLOG_AGE_MS) {
      backlog = sentBacklog
      sentBacklog = backlogMeter.report({ now: nextReportAt, leastUrgent })
    }
  }
  const stopped = load.kinds.map(() => ({ stops: 0, lost: 0 }))
  const speeds = load.speeds ?? SPEEDS
  const speedOf = (worker: WorkerState): number => speeds[Number(worker.report.id.slice(1)) % speeds.length]!
  const leastUrgent = Math.max(...load.kinds.map(({ route }) => route.priority))
  const stopRun = (task: Task): void => {
    task.phase = 'stopping'
    task.stopOrderedAt = now
    task.preemptions++
    const run = runs.get(task)!
    const stopAt = now + STOP_MS[0] + random.next() * (STOP_MS[1] - STOP_MS[0])
    if (run.endsAt <= stopAt) return
    events.add(stopAt, () => {
      const { definition, occurrence } = task.step
      const done = run.done + (1 - run.done) * Math.max(0, (now - run.beganAt) / (run.endsAt - run.beganAt))
      const restore = RESTORE_MS[0] + random.next() * (RESTORE_MS[1] - RESTORE_MS[0])
      const lostTime = definition.checkpoints ? restore : now - run.beganAt
      const kind = stopped[outcomeOf.get(occurrence.job.job.id)!.kind]!
      kind.stops++
      kind.lost += lostTime * definition.size.cpu / 1e6
      runs.delete(task)
      if (definition.checkpoints) doneBefore.set(task, Math.max(0, done - restore / durations.get(task)!))
      registry.release(task)
      task.phase = 'waiting'
      task.confirmedAt = 0
      task.projectedEndAt = 0
      registry.updateReadySteps(occurrence)
      requestRound()
    })
  }
  function plan (): void {
    const ranked = rankSteps(registry.readySteps, { routeOf: name => routes.get(name), now, arrange: table.startTurns(() => workers, now) })
    const preemption = preempts ? new PreemptionRound({ now, routeOf: job => routes.get(job.route), workers, leastUrgent }) : undefined
    const result = planRound(ranked, { workersOf: () => workers, now, adviceRound: scheduler.startRound(nodes, now), allowedShare: route => scheduler.allowedShare(route), holds, capBudgetOf: table.startRound(), preemption })
    holds = result.holds
    backlogMeter.addRound(ranked, result.placements, now)
    for (const { victim } of result.preemptions) stopRun(victim)
    // The members of a gang end together, when the slowest one ends.
    const gangSpeeds = new Map<StepState, number>()
    for (const { task: { step }, worker } of result.placements) if (step.definition.gang) gangSpeeds.set(step, Math.min(speedOf(worker), gangSpeeds.get(step) ?? Infinity))
    for (const { task, worker } of result.placements) {
      task.sentRun = ++task.run
      task.phase = 'running'
      task.confirmedAt = now + START_MS
      registry.assign(task, worker)
      registry.updateReadySteps(task.step.occurrence)
      const outcome = outcomeOf.get(task.step.occurrence.job.job.id)!
      const { run } = task
      const done = doneBefore.get(task) ?? 0
      const duration = durationOf(task.step, { speed: gangSpeeds.get(task.step) ?? speedOf(worker), error: estimateErrors.get(task.step.occurrence.job.job.route)! }, random)
      durations.set(task, duration)
      const endsAt = now + START_MS + (1 - done) * duration + END_MS
      runs.set(task, { run, beganAt: now + START_MS, endsAt, done })
      events.add(endsAt, () => { if (runs.get(task)?.run === run) endTask(task, outcome) })
      if (endsAt > now + PROGRESS_MS) events.add(now + PROGRESS_MS, () => { if (runs.get(task)?.run === run) task.projectedEndAt = endsAt })
    }
    for (const { step, route, workers: named, node, cost } of result.adviceRequests) {
      scheduler.callSent(node, cost, now)
      for (const { report } of named) step.askedWorkers.add(report.id)
      const startsAt = Math.max(now, nodeIdleAt.get(node) ?? 0)
      nodeIdleAt.set(node, startsAt + cost)
      const share = load.kinds.find(kind => kind.route === route)!.allowedShare
      events.add(startsAt + cost + ADVICE_TRANSFER_MS, () => {
        scheduler.callEnded(node, cost, now)
        step.nextPlanAt = 0
        for (const { report } of named) step.askedWorkers.delete(report.id)
        const tickets = named.filter(({ report }) => isAllowedFor(step, report.id, share)).map(({ report }) => ({ worker: report.id, text: 't' }))
        applyAdvice(step, named.map(asAsked), { tickets, validity: route.advice!.validity }, now)
        scheduler.updateAllowedShare(route.name, tickets.length, named.length)
        requestRound()
      })
    }
  }

  const submit = (job: Job, index: number, at: number): void => {
    const kind = load.kinds[index]!
    const organisation = load.organisations?.find(({ name }) => name === job.organisation)
    events.add(at, () => {
      // Refused jobs count towards the rate that is owed too: callers submitted them.
      const isBeyondRate = organisation !== undefined && isBeyondOwedRate(buckets, organisation, now)
      const isRefused = refuses && judgeBacklog(describeJob(job, kind.route), backlog, { age: BACKLOG_AGE_MS, random }) !== undefined
      const work = job.steps.reduce((sum, step) => sum + step.count * step.size.cpu * step.estimate, 0)
      const outcome: Outcome = { isBeyondRate, isRefused, ...(organisation === undefined ? {} : { organisation }), kind: index, work, submittedAt: now, span: objectiveSpan(job.steps, kind.route), endedAt: Infinity }
      outcomes.push(outcome)
      if (isRefused) return
      const state = registry.addJob(job, { now, age: 0, wall: 0 })
      state.isBeyondRate = table.isBeyondRate({ ...job, acceptedAt: now }, now)
      outcomeOf.set(job.id, outcome)
      if (state.phase === 'open') requestRound()
    })
  }
  load.kinds.forEach((kind, index) => {
    let number = 0
    for (let at = 0; at < load.duration;) {
      const burst = load.bursts.find(each => each.kind === index && at >= each.from && at < each.until)
      at += random.exponential(1000 / (kind.rate * (burst?.factor ?? 1) * waveFactor(load, at)))
      const id = index.toString(16) + (number++).toString(16).padStart(15, '0')
      submit({ ...drawJob(kind, id, random), ...drawOrganisation(load, shareRandom) }, index, at)
    }
    for (const { organisation: burstIndex, from, until, factor } of load.organisationBursts ?? []) {
      const organisation = load.organisations![burstIndex]!
      const rate = (factor - 1) * kind.rate * organisation.rate / totalRate(load)
      for (let at = from + shareRandom.exponential(1000 / rate); at < until; at += shareRandom.exponential(1000 / rate)) {
        const id = index.toString(16) + 'b' + (number++).toString(16).padStart(14, '0')
        submit({ ...drawJob(kind, id, shareRandom), ...belongingTo(organisation) }, index, at)
      }
    }
  })
  for (let at = SPEED_UPDATE_INTERVAL_MS; at < load.duration; at += SPEED_UPDATE_INTERVAL_MS) events.add(at, () => { updateSpeeds(learned, workers) })
  const end = load.duration + 3 * Math.max(...outcomesSpan(load))
  for (let event = events.next(); event !== undefined && event.at < end; event = events.next()) {
    if (refuses) reportBacklog(event.at)
    now = event.at
    event.run()
  }
  const owed = outcomes.filter(({ isBeyondRate }) => !isBeyondRate)
  return {
    kinds: load.kinds.map((kind, index) => ({ ...evaluate(kind, owed.filter(outcome => outcome.kind === index)), ...stopped[index]! })),
    organisations: (load.organisations ?? []).map(organisation => evaluateOrganisation(organisation, load, outcomes.filter(outcome => outcome.organisation === organisation)))
  }
}

function isBeyondOwedRate (buckets: Map<string, TokenBucket>, { name, weight }: LoadOrganisation, at: number): boolean {
  const { bucket, isWithin } = takeToken(buckets.get(name), { rate: weight, at })
  buckets.set(name, bucket)
  return !isWithin
}

function totalRate ({ organisations = [] }: Load): number {
  return organisations.reduce((sum, { rate }) => sum + rate, 0)
}

function drawOrganisation (load: Load, random: SeededRandom): Partial<Job> {
  if (load.organisations === undefined) return {}
  let remaining = random.next() * totalRate(load)
  return belongingTo(load.organisations.find(({ rate }) => (remaining -= rate) < 0) ?? load.organisations[0]!)
}

function belongingTo ({ name, weight, cap }: LoadOrganisation): Partial<Job> {
  return { organisation: name, organisationTerms: { weight, cap } }
}

function evaluateOrganisation ({ name }: LoadOrganisation, { kinds }: Load, outcomes: Outcome[]): OrganisationResult {
  const owed = outcomes.filter(({ isBeyondRate }) => !isBeyondRate)
  const worthOf = ({ kind }: Outcome): number => kinds[kind]!.worth
  const earned = owed.reduce((sum, outcome) => sum + worthOf(outcome) * earnedShare(outcome), 0)
  return { name, jobs: outcomes.length, beyondRate: outcomes.length - owed.length, worth: owed.length === 0 ? 1 : earned / owed.reduce((sum, outcome) => sum + worthOf(outcome), 0) }
}

/** @returns the share of a job's worth that its end earns: a late one a fifth, as specified by the platform */
function earnedShare (outcome: Outcome): number {
  return { inTime: 1, late: 0.2, failed: 0 }[endOf(outcome)]
}

function endOf ({ endedAt, submittedAt, span }: Outcome): 'inTime' | 'late' | 'failed' {
  const ratio = (endedAt - submittedAt) / span
  return ratio <= 1 ? 'inTime' : ratio <= MAX_USEFUL_OBJECTIVE_RATIO ? 'late' : 'failed'
}

function waveFactor ({ wave }: Load, at: number): number {
  return wave === undefined ? 1 : 1 + wave.amplitude * Math.sin(2 * Math.PI * at / wave.period)
}

function outcomesSpan (load: Load): number[] {
  return load.kinds.map(kind => objectiveSpan([stepOf({ estimate: 2 * kind.duration })], kind.route))
}

function drawJob (kind: JobKind, id: string, random: SeededRandom): { id: string, route: string, spec: string, acceptedAt: number, steps: Array<ReturnType<typeof stepOf>> } {
  const gang = random.next() < kind.gangShare
  const count = random.next() < kind.steps - 1 ? 2 : 1
  const steps = Array.from({ length: count }, (_, index) => stepOf({
    count: Math.max(1, Math.round(drawAround(kind.width[0], kind.width[1], random))),
    size: { cpu: Math.round(drawAround(kind.cpu[0], kind.cpu[1], random)), memory: kind.memory, accelerators: 0 },
    estimate: Math.round(kind.duration * (0.5 + random.next())),
    after: index === 0 ? [] : [index - 1],
    checkpoints: kind.checkpointShare !== undefined && random.next() < kind.checkpointShare,
    gang
  }))
  return { id, route: kind.route.name, spec: '', acceptedAt: 0, steps }
}

/** Draws from a log-normal distribution with a mean, cut at a maximum. */
function drawAround (mean: number, max: number, random: SeededRandom): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return Math.min(max, mean * Math.exp(SPREAD * normal - SPREAD * SPREAD / 2))
}

function durationOf (step: StepState, { speed, error }: { speed: number, error: number }, random: SeededRandom): number {
  const offset = step.definition.gang ? hashFraction(step.name) : random.next()
  return step.definition.estimate * (1 - error + 2 * error * offset) / speed
}

function isAllowedFor (step: StepState, worker: string, share: number): boolean {
  let hash = 0x811c9dc5
  for (const character of `${step.name} ${worker}`) hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193)
  return ((hash ^ (hash >>> 13)) >>> 0) % 1000 < share * 1000
}

function evaluate (kind: JobKind, outcomes: Outcome[]): Omit<KindResult, 'stops' | 'lost'> {
  const meanWork = outcomes.reduce((sum, outcome) => sum + outcome.work, 0) / Math.max(1, outcomes.length)
  const worthOf = (outcome: Outcome): number => Math.min(4, 0.3 + 0.7 * outcome.work / meanWork)
  const earned = (outcome: Outcome): number => worthOf(outcome) * earnedShare(outcome)
  const share = (some: Outcome[]): number => some.reduce((sum, each) => sum + earned(each), 0) / Math.max(1e-9, some.reduce((sum, each) => sum + worthOf(each), 0))
  const bySize = [...outcomes].sort((a, b) => b.work - a.work)
  const count = (end: ReturnType<typeof endOf>): number => outcomes.filter(each => endOf(each) === end).length
  return {
    name: kind.route.name,
    jobs: outcomes.length,
    inTime: count('inTime'),
    late: count('late'),
    failed: count('failed'),
    refused: outcomes.filter(({ isRefused }) => isRefused).length,
    worth: share(outcomes),
    largest: share(bySize.slice(0, Math.ceil(outcomes.length * 0.1))),
    large: share(bySize.slice(Math.ceil(outcomes.length * 0.1), Math.ceil(outcomes.length * 0.3)))
  }
}

/** Events in order of time, as a binary heap. */
class EventQueue {
  private readonly heap: Event[] = []

  add (at: number, run: () => void): void {
    const { heap } = this
    heap.push({ at, run })
    for (let index = heap.length - 1; index > 0;) {
      const parent = (index - 1) >> 1
      if (heap[parent]!.at <= heap[index]!.at) return
      ;[heap[parent], heap[index]] = [heap[index]!, heap[parent]!]
      index = parent
    }
  }

  next (): Event | undefined {
    const { heap } = this
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let index = 0; ;) {
      let smallest = index
      for (const child of [2 * index + 1, 2 * index + 2]) if (child < heap.length && heap[child]!.at < heap[smallest]!.at) smallest = child
      if (smallest === index) return first
      ;[heap[smallest], heap[index]] = [heap[index]!, heap[smallest]!]
      index = smallest
    }
  }
}
