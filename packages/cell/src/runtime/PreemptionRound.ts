import type { Resources } from '@rattanstep/core'
import { chooseCapacity, STOP_DURATION_MS } from '@rattanstep/policy'
import type { CapacityChoice, ContendedWorker, PreemptibleRun } from '@rattanstep/policy'
import type { ScheduledRoute } from '../types/configuration.js'
import type { Job, Size } from '../types/job.js'
import type { Slot } from './CapacitySnapshot.js'
import { expectedEnd } from './forecastReleases.js'
import { hashText } from './hashText.js'
import type { StepState, Task, WorkerState } from './model.js'
import { chainLength } from './chainLength.js'
import { objectiveSpan } from './rankSteps.js'
import type { RankedStep } from './rankSteps.js'
import { reservedSize } from './Registry.js'
import type { GangSchedule } from './scheduleGang.js'

/** Number of steps for which one round looks for runs to stop: each look takes about as long as the rest of a round for a few steps. */
const MAX_SEARCHES = 6
/** Number of workers that one search considers, and that number for each task: searches among 1,500 workers took 20 ms each. */
const MAX_SEARCHED_WORKERS = 64
const SEARCHED_WORKERS_PER_TASK = 4
/** Share of the cores of all workers that stopped runs may hold until their ends are known. */
const MAX_STOPPING_RATIO = 0.15
/** Number of workers whose cores they may always hold: in a small cell, a single gang takes several workers. */
const MIN_STOPPING_WORKERS = 4
/** Lost work that a preemption may cost, as a multiple of the work that it lets start. A core-second of urgent work is worth several of other work. */
const MAX_LOSS_RATIO = 1
const MAX_URGENT_LOSS_RATIO = 4
/**
 * Share of the time left until a step's latest start for which it waits for runs to end by themselves. Forecasts of ends are wrong, and with 0.5 wide
 * gangs started too late in a full cell.
 */
const WAIT_RATIO = 0.2
/** Share of a step's remaining declared duration that is kept as a margin, since declared durations are off by a fifth and workers differ in speed. */
const DURATION_MARGIN = 0.25
/** Time before the expected start at which the runs are stopped: rounds are some ms apart. */
const STOP_LEAD_MS = STOP_DURATION_MS + 30
/** Time after which no capacity is freed on a worker with a stopped run whose end is not known: the order may be lost, or the worker hangs. */
const STOP_PATIENCE_MS = 600

/** Decision to stop a run for a waiting step. */
export interface Preemption {
  victim: Task
  beneficiary: StepState
  /** Core-ms of work that all runs stopped for the step in this round lose. */
  loss: number
}

/** Options of a round's preemption. */
export interface PreemptionOptions {
  /** Monotonic ms. */
  now: number
  /** Returns the route of a job. */
  routeOf: (job: Job) => ScheduledRoute | undefined
  workers: Iterable<WorkerState>
  /** Least urgent priority of all routes; nothing can be stopped for its steps. */
  leastUrgent: number
}

/** Finds runs of less urgent tasks to stop for steps that would otherwise start too late, for one round of planning. */
export class PreemptionRound {
  readonly preemptions: Preemption[] = []
  private searches = 0
  private readonly chosen = new Set<Task>()
  /** Cores up to which more runs may be stopped. */
  private stoppableCores: number
  private readonly slackByStep = new Map<StepState, number>()

  constructor (private readonly options: PreemptionOptions) {
    let cores = 0
    let largest = 0
    let stopping = 0
    for (const worker of options.workers) {
      cores += worker.report.capacity.cpu
      largest = Math.max(largest, worker.report.capacity.cpu)
      for (const task of worker.tasks.values()) if (task.phase === 'stopping') stopping += reservedSize(task.step.definition).cpu
    }
    this.stoppableCores = (Math.max(MAX_STOPPING_RATIO * cores, MIN_STOPPING_WORKERS * largest) - stopping) / 1000
  }

  /** @returns whether runs may be stopped for a step: its job can still be in time, and its organisation is owed it */
  mayHelp ({ route, lateness, isBeyondRate }: RankedStep): boolean {
    return route.priority < this.options.leastUrgent && this.searches < MAX_SEARCHES && lateness === 0 && !isBeyondRate
  }

  /** @returns monotonic ms until which a step can wait for its start without harm */
  latestStart ({ step, objectiveAt }: Pick<RankedStep, 'step' | 'objectiveAt'>): number {
    const { now } = this.options
    const chain = chainLength(step.occurrence.job.job.steps, step.index)
    return now + Math.max(0, WAIT_RATIO * (objectiveAt - now - (1 + DURATION_MARGIN) * chain))
  }

  /**
   * Finds capacity for tasks that don't fit now, and stops runs for them if that is necessary and the time has come.
   *
   * @param rankedStep - the step
   * @param slots - workers on which the tasks may run
   * @param options - `count`: number of tasks; `earliest`: monotonic ms at which they can start at the earliest, for example for lack of tickets
   * @returns workers to hold for the tasks, or `undefined` if no acceptable stops make them fit
   */
  findCapacity (rankedStep: RankedStep, slots: Slot[], { count, earliest }: { count: number, earliest: number }): GangSchedule | undefined {
    const { now } = this.options
    const { step, route } = rankedStep
    this.searches++
    const usable = new Map<string, Slot>()
    for (const slot of selectSearched(slots, step, count)) {
      if (slot.hold !== undefined && slot.hold.owner !== step && slot.hold.priority <= route.priority) continue
      if (!this.hasOverdueStop(slot.worker)) usable.set(slot.worker.report.id, slot)
    }
    const { definition } = step
    const size = reservedSize(definition)
    const choice = chooseCapacity({
      priority: route.priority,
      tasks: Array.from({ length: count }, () => ({ ...asResources(size), slots: 1 })),
      workers: [...usable.values()].map(slot => this.describe(slot, step)),
      earliest: earliest - now,
      latest: Math.max(earliest, this.latestStart(rankedStep)) - now,
      maxLoss: (route.priority === 0 ? MAX_URGENT_LOSS_RATIO : MAX_LOSS_RATIO) * count * definition.estimate * size.cpu / 1000,
      maxCores: this.stoppableCores
    })
    if (choice === null) return undefined
    if (now + choice.startIn <= Math.max(now, earliest - STOP_DURATION_MS) + STOP_LEAD_MS) this.stop(step, choice, usable)
    return { startAt: now + choice.startIn, shares: countShares(choice, usable) }
  }

  private stop (step: StepState, { victims, loss }: CapacityChoice, usable: Map<string, Slot>): void {
    if (victims.length === 0) return
    const names = new Set(victims)
    for (const { worker } of usable.values()) {
      for (const task of worker.tasks.values()) {
        if (!names.has(task.name)) continue
        this.chosen.add(task)
        this.preemptions.push({ victim: task, beneficiary: step, loss })
        this.stoppableCores -= reservedSize(task.step.definition).cpu / 1000
      }
    }
  }

  private hasOverdueStop ({ tasks }: WorkerState): boolean {
    for (const { phase, stopOrderedAt } of tasks.values()) if (phase === 'stopping' && this.options.now - stopOrderedAt > STOP_PATIENCE_MS) return true
    return false
  }

  private describe (slot: Slot, step: StepState): ContendedWorker {
    const { worker } = slot
    const { now } = this.options
    const limit = step.definition.perWorker ?? Number.MAX_SAFE_INTEGER
    let present = slot.placed?.step === step ? slot.placed.tasks : 0
    const running: PreemptibleRun[] = []
    const releases: ContendedWorker['releases'] = []
    for (const task of worker.tasks.values()) {
      if (task.step === step) present++
      const { definition } = task.step
      if (this.chosen.has(task) || definition.lasting) continue
      const remaining = expectedEnd(task, now) - now
      releases.push({ in: remaining, resources: asResources(reservedSize(definition)) })
      if (task.phase === 'running' && !definition.gang && !definition.filling && task.step.occurrence.job.suspects.size === 0) running.push(this.describeRun(task, remaining))
    }
    const { cpu, memory, accelerators } = worker.report.capacity
    return { id: worker.report.id, rack: '', total: { cores: cpu / 1000, memory, accelerators, slots: 1 }, free: { ...asResources(slot.free), slots: Math.max(0, limit - present) }, releases, running }
  }

  private describeRun (task: Task, remaining: number): PreemptibleRun {
    const { step: { definition, occurrence }, confirmedAt, preemptions, name } = task
    const { now, routeOf } = this.options
    return {
      id: name,
      // A job whose route is not known is never preempted.
      priority: routeOf(occurrence.job.job)?.priority ?? 0,
      resources: asResources(reservedSize(definition)),
      checkpoints: definition.checkpoints,
      elapsed: Math.max(now - confirmedAt, definition.estimate - remaining),
      remaining,
      preemptions,
      slack: this.slackOf(task.step)
    }
  }

  /** @returns ms by which a step's job can be delayed and still be in time, if the step's tasks were to start now */
  private slackOf (step: StepState): number {
    const known = this.slackByStep.get(step)
    if (known !== undefined) return known
    const { occurrence } = step
    const route = this.options.routeOf(occurrence.job.job)
    const { steps } = occurrence.job.job
    const objectiveAt = Math.max(occurrence.dueAt, occurrence.job.submittedAt) + (route === undefined ? 0 : objectiveSpan(steps, route))
    const slack = objectiveAt - this.options.now - chainLength(steps, step.index)
    this.slackByStep.set(step, slack)
    return slack
  }
}

/** Selects the same workers in each round, so that a later round finds the capacity that an earlier one has freed, and others for other steps. */
function selectSearched (slots: Slot[], step: StepState, count: number): Slot[] {
  const limit = Math.max(MAX_SEARCHED_WORKERS, SEARCHED_WORKERS_PER_TASK * count)
  if (slots.length <= limit) return slots
  const first = hashText(step.name) % slots.length
  const selected = slots.filter(slot => slot.hold?.owner === step)
  for (let index = 0; index < slots.length && selected.length < limit; index++) {
    const slot = slots[(first + index) % slots.length]!
    if (slot.hold?.owner !== step) selected.push(slot)
  }
  return selected
}

function countShares ({ placements }: CapacityChoice, slots: Map<string, Slot>): GangSchedule['shares'] {
  const counts = new Map<string, number>()
  for (const { worker } of placements) counts.set(worker, (counts.get(worker) ?? 0) + 1)
  return [...counts].map(([id, tasks]) => ({ slot: slots.get(id)!, tasks }))
}

/** @returns resources in cores, without a slot: slots count the tasks of the waiting step on one worker */
function asResources ({ cpu, memory, accelerators }: Size): Resources {
  return { slots: 0, cores: cpu / 1000, memory, accelerators }
}
