import type { CapBudget } from '@rattanstep/policy'
import type { AdviceTerms, ScheduledRoute } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import type { AdviceRound } from './AdviceScheduler.js'
import { CapacitySnapshot, emptyTaskCapacity, reserveCapacity, taskCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import type { GangHold, JobState, StepState, Task, WorkerState } from './model.js'
import { hasTicket, isAllowed, isEligible, placeTasks } from './placeTasks.js'
import { MAX_NONE_ALLOWED_RISK, planAdviceCalls, sortByCapacity, spreadOver } from './planAdviceCalls.js'
import { planGang } from './planGang.js'
import { planSuspect, restoreReservation, SHARED_PATIENCE_MS } from './planSuspect.js'
import { reviewRejections } from './reviewRejections.js'
import type { Preemption, PreemptionRound } from './PreemptionRound.js'
import { mayHoldCapacity } from './rankSteps.js'
import type { RankedStep } from './rankSteps.js'
import { holdSchedule, releaseHold } from './scheduleGang.js'
import type { StartBudget } from '../starts/StartFlow.js'
import { suspectsOf, updateClearance } from './Suspicion.js'

/** Assumed share of workers that the advice service allows, before the first answer for a route. */
const DEFAULT_ALLOWED_SHARE = 0.5

/** Ratio of the tasks that fit on the full workers that a step is asked about, were they empty, to the tasks that lack a worker. */
const CONTENDED_RATIO = 12

/** Maximum time for which the other tasks of a job wait for a suspect that can't be placed. */
const MAX_HELD_BACK_MS = SHARED_PATIENCE_MS + 500

/** Decision to start a task on a worker. */
export interface Placement {
  task: Task
  worker: WorkerState
  /** Ticket of the advice service, if the route needs one. */
  ticket?: string
}

/** A planned call to the advice service. */
export interface AdviceRequest {
  step: StepState
  route: ScheduledRoute
  workers: WorkerState[]
  /** Node that makes the call. */
  node: string
  /** Expected duration of the call in ms. */
  cost: number
}

/** Decisions of one round. */
export interface RoundPlan {
  placements: Placement[]
  adviceRequests: AdviceRequest[]
  /** Capacity that is held for gangs until the next round. */
  holds: Map<StepState, GangHold>
  /** Runs to stop for more urgent steps. */
  preemptions: Preemption[]
  /** Whether tasks that have room were not placed because too many starts are not answered yet, and the workers that were passed over for that. */
  startLimit: { isReached: boolean, workers: Set<WorkerState> }
}

/** Input of a round of planning. */
export interface PlanOptions {
  /** Returns the workers of a service on which tasks may be placed. */
  workersOf: (service: string) => WorkerState[]
  /** Monotonic ms. */
  now: number
  /** Assigns calls to nodes. */
  adviceRound: AdviceRound
  /** Returns the average share of workers that the advice service allowed for a route. */
  allowedShare?: (route: string) => number | undefined
  /** Holds of the last round. */
  holds?: Map<StepState, GangHold>
  /** Returns the priority of a route. */
  priorityOf?: (route: string) => number
  /** Returns what is left of the cap of a job's organisation, or `undefined` without a cap. */
  capBudgetOf?: (job: Job) => CapBudget | undefined
  /** Stops runs for more urgent steps; absent to let all runs end. */
  preemption?: PreemptionRound
  /** Starts that the round may place; by default, there is no limit. */
  starts?: StartBudget
}

/** What the steps of one service share in a round of planning. */
export interface RoundContext {
  capacity: CapacitySnapshot
  plan: RoundPlan
  /** Monotonic ms. */
  now: number
  /** Returns the expected share of workers that the advice service allows for a route. */
  allowedShare: (route: string) => number
  adviceRound: AdviceRound
  /** Services of which a gang holds workers for longer than others may. */
  servicesWithLongHold: Set<string>
  /** Returns the priority of a route. */
  priorityOf: (route: string) => number
  /** Returns what is left of the cap of a job's organisation, or `undefined` without a cap. */
  capBudgetOf: (job: Job) => CapBudget | undefined
  /** Worker of the service that is kept free for a suspect, by job. */
  reserved: Map<JobState, Slot>
  /** Jobs of which the round starts a suspect. */
  plannedSuspects: Set<JobState>
  preemption?: PreemptionRound
  /** Number of further starts that the round may place. Gangs are placed whole if there is any. */
  starts: { left: number }
}

/**
 * Decides which waiting tasks start on which workers. Steps are handled in rank order on one snapshot of the free capacity. A step that
 * still lacks tickets reserves the capacity that it is likely to use, so that steps of lower rank don't use it during the call for advice.
 *
 * @param ranked - steps in rank order
 * @param options - workers, time and nodes for the round
 * @returns placements, calls to the advice service, and capacity that is held for gangs
 */
export function planRound (ranked: RankedStep[], { workersOf, now, adviceRound, allowedShare, holds = new Map(), priorityOf = () => 0, capBudgetOf = () => undefined, preemption, starts }: PlanOptions): RoundPlan {
  const plan: RoundPlan = { placements: [], adviceRequests: [], holds: new Map(), preemptions: [], startLimit: { isReached: false, workers: new Set() } }
  const shared = { plan, now, allowedShare: (route: string) => allowedShare?.(route) ?? DEFAULT_ALLOWED_SHARE, adviceRound, servicesWithLongHold: new Set<string>(), priorityOf, capBudgetOf, plannedSuspects: new Set<JobState>(), preemption, starts: { left: starts?.left ?? Infinity } }
  const contexts = new Map<string, RoundContext>()
  const contextOf = (service: string): RoundContext => {
    let context = contexts.get(service)
    if (context === undefined) contexts.set(service, context = { ...shared, capacity: new CapacitySnapshot(workersOf(service), starts?.leftOf), reserved: new Map() })
    return context
  }
  for (const { step, route } of ranked) restoreReservation(step.occurrence.job, contextOf(route.service))
  for (const rankedStep of ranked) restoreHold(rankedStep, holds, contextOf)
  for (const rankedStep of ranked) {
    const context = contextOf(rankedStep.route.service)
    const { step } = rankedStep
    step.waitingSince = context.capacity.isMostlyFree ? step.waitingSince ?? now : undefined
    updateClearance(step.occurrence.job, now)
    const suspects = suspectsOf(step.occurrence.job, now)
    if (suspects.length > 0) planSuspectedJob(rankedStep, suspects, context)
    else if (canProgress(rankedStep, context)) planStep(rankedStep, context)
  }
  plan.preemptions = preemption?.preemptions ?? []
  return plan
}

/** Plans a step of a job under which a worker has crashed. */
function planSuspectedJob (rankedStep: RankedStep, suspects: Task[], context: RoundContext): void {
  const { step, route } = rankedStep
  const { adviceRound, now } = context
  const { job } = step.occurrence
  const eligible = planSuspect(rankedStep, suspects, context)
  if (job.suspectedSince > 0 && now - job.suspectedSince >= MAX_HELD_BACK_MS && !context.plannedSuspects.has(job) && canProgress(rankedStep, context)) planStep(rankedStep, context, suspects)
  if (eligible.length === 0) return
  if (step.definition.gang) {
    if (route.advice !== undefined || now - step.occurrence.job.suspectedSince >= SHARED_PATIENCE_MS) planGang(rankedStep, context)
    return
  }
  if (route.advice === undefined || step.adviceCounts.asked > 0 || step.nextAdviceAt > now || !adviceRound.canAssign(route.advice)) return
  askAboutWorkers(rankedStep, route.advice, { missing: 1, eligible }, context)
}

/** Holds a gang's workers as in the last round, so that no gang of lower rank or later schedule takes them. */
function restoreHold (rankedStep: RankedStep, holds: Map<StepState, GangHold>, contextOf: (service: string) => RoundContext): void {
  const { step, route } = rankedStep
  const hold = holds.get(step)
  if (hold === undefined) return
  const context = contextOf(route.service)
  if (!mayHoldCapacity(rankedStep, context.capacity.isMostlyFree) || countUnderCap(step, context) < step.tasks.length) return
  const { capacity, now, plan } = context
  const shares = capacity.slotsOf(hold.tasksByWorker.keys()).map(slot => ({ slot, tasks: hold.tasksByWorker.get(slot.worker.report.id)! }))
  plan.holds.set(step, holdSchedule(step, { startAt: hold.startAt, shares }, { priority: route.priority, now }))
}

/** @returns number of tasks of the step that may start under the cap of its organisation */
export function countUnderCap ({ definition, occurrence }: StepState, { capBudgetOf }: Pick<RoundContext, 'capBudgetOf'>): number {
  return capBudgetOf(occurrence.job.job)?.countFitting(definition.size) ?? Infinity
}

/** Adds placements to the plan and deducts them from the cap of the job's organisation. */
export function addPlacements (step: StepState, placements: Placement[], { plan, capBudgetOf, starts }: Pick<RoundContext, 'plan' | 'capBudgetOf' | 'starts'>): void {
  plan.placements.push(...placements)
  starts.left -= placements.length
  if (starts.left < 1) plan.startLimit.isReached = true
  capBudgetOf(step.occurrence.job.job)?.take(step.definition.size, placements.length)
}

/** Cheap check that, when many steps wait, excludes most of those for which the round can do nothing. */
function canProgress (rankedStep: RankedStep, context: RoundContext): boolean {
  const { step, route } = rankedStep
  const { capacity, adviceRound, now, plan, servicesWithLongHold, preemption } = context
  const mayHold = step.definition.gang && mayHoldCapacity(rankedStep, capacity.isMostlyFree) && (route.advice !== undefined || plan.holds.has(step) || !servicesWithLongHold.has(route.service))
  if (!mayHold && !capacity.mayFit(step.definition) && preemption?.mayHelp(rankedStep) !== true) return false
  if (countUnderCap(step, context) < 1) return false
  if (route.advice === undefined || step.adviceCounts.allowed + step.adviceCounts.rejected > 0) return true
  return step.adviceCounts.asked === 0 && step.nextAdviceAt <= now && adviceRound.canAssign(route.advice)
}

function planStep (rankedStep: RankedStep, context: RoundContext, excluded: Task[] = []): void {
  const { step, route } = rankedStep
  const { capacity, now, adviceRound, starts } = context
  if (starts.left < 1) {
    context.plan.startLimit.isReached = true
    return
  }
  const { gang } = step.definition
  const waiting = step.tasks.waiting({ now, excluded, most: Math.min(countUnderCap(step, context), gang ? Infinity : starts.left) })
  const count = waiting.touched.length + waiting.untouched
  if (count === 0) return
  if (gang) {
    if (count === step.tasks.length) planGang(rankedStep, context)
    return
  }
  const eligible = capacity.slots.filter(slot => isEligible(slot, step))
  const usable = eligible.filter(slot => route.advice === undefined || hasTicket(step, slot, now))
  const placements = placeTasks(waiting, usable, step, { now, priority: route.priority, neededSpeedClass: rankedStep.neededSpeedClass })
  addPlacements(step, placements, context)
  const missing = count - placements.length
  if (missing > 0 && noteStartLimit(usable, rankedStep, context)) return
  if (missing > 0) holdCapacity(rankedStep, missing, route.advice === undefined ? eligible : eligible.filter(slot => isAllowed(slot, step)), context)
  if (missing === 0 || route.advice === undefined) return
  if (step.adviceCounts.asked > 0 || step.nextAdviceAt > now || !adviceRound.canAssign(route.advice)) return reserveForPendingAdvice(missing, eligible, step, context.plan.holds)
  askAboutWorkers(rankedStep, route.advice, { missing, eligible }, context)
}

/** @returns whether tasks of a step that have room were not placed because their workers have not answered enough earlier starts */
function noteStartLimit (slots: Slot[], { step, route: { priority } }: RankedStep, { plan, now }: RoundContext): boolean {
  let isLimited = false
  for (const slot of slots) {
    if (slot.starts >= 1 || taskCapacity(slot, step, { now, priority }) < 1) continue
    plan.startLimit.workers.add(slot.worker)
    isLimited = true
  }
  return isLimited
}

/** Holds capacity for the tasks of a step that don't fit now and should start soon, and stops runs for them if necessary. */
function holdCapacity (rankedStep: RankedStep, missing: number, slots: Slot[], { capacity, plan, now, preemption }: RoundContext): void {
  const { step, route } = rankedStep
  if (preemption === undefined) return
  releaseHold(step, capacity.slots)
  plan.holds.delete(step)
  for (let count = missing; count > 0 && preemption.mayHelp(rankedStep); count = Math.floor(count / 2)) {
    const schedule = preemption.findCapacity(rankedStep, slots, { count, earliest: now })
    if (schedule === undefined) continue
    plan.holds.set(step, holdSchedule(step, schedule, { priority: route.priority, now }))
    return
  }
}

/** Plans a call to the advice service for the tasks of a step that are not placed. */
function askAboutWorkers (rankedStep: RankedStep, terms: AdviceTerms, { missing, eligible }: { missing: number, eligible: Slot[] }, { now, plan, adviceRound, allowedShare, preemption }: RoundContext): void {
  const { step, route } = rankedStep
  const start = { now, priority: route.priority, neededSpeedClass: rankedStep.neededSpeedClass }
  const share = allowedShare(route.name)
  const fitting = eligible.filter(slot => taskCapacity(slot, step, start) > 0 && !hasTicket(step, slot, now))
  const candidates = fitting.length === 0 && preemption?.mayHelp(rankedStep) === true ? selectContended(eligible, step, { missing, share }) : fitting
  if (candidates.length === 0) return reviewRejections(step, { now, isUrgent: !eligible.some(slot => isAllowed(slot, step)), adviceRound })
  const allowed = candidates.filter(slot => isAllowed(slot, step))
  const unknown = candidates.filter(slot => !isAllowed(slot, step))
  plan.adviceRequests.push(...planAdviceCalls(rankedStep, terms, maxNamed => selectWorkers(allowed, unknown, { step, start, missing, allowedShare: share, maxNamed }), adviceRound))
  reserveForPendingAdvice(missing, allowed, step, plan.holds)
}

/** Selects full workers to ask about, on which runs could be stopped for a step, unless enough such workers are known. */
function selectContended (eligible: Slot[], step: StepState, { missing, share }: { missing: number, share: number }): Slot[] {
  const sum = (slots: Slot[]): number => slots.reduce((total, slot) => total + emptyTaskCapacity(slot, step), 0)
  const wanted = CONTENDED_RATIO * missing
  if (sum(eligible.filter(slot => isAllowed(slot, step))) >= wanted) return []
  const unknown = eligible.filter(slot => !isAllowed(slot, step) && emptyTaskCapacity(slot, step) > 0)
  const each = sum(unknown) / Math.max(1, unknown.length)
  return spreadOver(unknown, step).slice(0, Math.ceil(wanted / Math.max(1e-9, share * each)))
}

interface Selection {
  step: StepState
  /** `now`: monotonic ms; `priority`: priority of the step's route. */
  start: { now: number, priority: number, neededSpeedClass?: number }
  /** Number of tasks that lack a worker. */
  missing: number
  allowedShare: number
  maxNamed: number
}

/**
 * Selects workers that are known to be allowed first, then workers for which the decision is unknown, until the expected capacity is twice
 * what is missing and it is unlikely that none of the unknown workers is allowed.
 */
function selectWorkers (allowed: Slot[], unknown: Slot[], { step, start, missing, allowedShare, maxNamed }: Selection): Slot[] {
  const selected = sortByCapacity(allowed, step, start).slice(0, maxNamed)
  let expectedCapacity = selected.reduce((sum, slot) => sum + taskCapacity(slot, step, start), 0)
  let unknownCount = 0
  for (const slot of sortByCapacity(unknown, step, start)) {
    if (selected.length >= maxNamed || (expectedCapacity >= 2 * missing && Math.pow(1 - allowedShare, unknownCount) < MAX_NONE_ALLOWED_RISK)) break
    selected.push(slot)
    unknownCount++
    expectedCapacity += allowedShare * taskCapacity(slot, step, start)
  }
  return selected
}

/** Reserves capacity on allowed workers for a step while a call for its tickets is in flight or planned. */
function reserveForPendingAdvice (missing: number, eligible: Slot[], step: StepState, holds: RoundPlan['holds']): void {
  if (holds.has(step)) return
  let remaining = missing
  for (const slot of eligible) {
    if (remaining <= 0) return
    if (!isAllowed(slot, step)) continue
    const count = Math.min(remaining, taskCapacity(slot, step))
    reserveCapacity(slot, step.definition, count)
    remaining -= count
  }
}
