import type { AdviceTerms, Route } from '../types/configuration.js'
import type { AdviceRound } from './AdviceScheduler.js'
import { hashText, mixHashes } from './hashText.js'
import type { RankedStep } from './rankSteps.js'
import type { StepState, Task, WorkerState } from './model.js'
import { CapacitySnapshot, taskCapacity, countFitting, reserveCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'

/** Maximum number of workers named in a call to the advice service. The service accepts 100, but every named worker makes the call longer. */
const MAX_NAMED_WORKERS = 60
/** Maximum number of workers named for a step in calls that several nodes make at the same time. */
const MAX_NAMED_WORKERS_IN_PARALLEL = 120
/** Number of workers from which a step's question is split, if nodes are idle. */
const WORKERS_PER_PARALLEL_CALL = 24
/** Maximum share of the idle nodes that make the calls of one step; the rest remains for steps of lower rank. */
const MAX_PARALLEL_NODE_SHARE = 0.25
/** Minimum remaining validity of a ticket when a task is placed: covers a commit and the order to the worker. */
const MIN_TICKET_VALIDITY_MS = 60
/** Accepted probability that the advice service allows none of the named workers, which costs a second call. */
const MAX_NONE_ALLOWED_RISK = 0.02
/** Assumed share of workers that the advice service allows, before the first answer for a route. */
const DEFAULT_ALLOWED_SHARE = 0.5

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
  route: Route
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
}

/**
 * Decides which waiting tasks start on which workers. Steps are handled in rank order on one snapshot of the free capacity. A step that
 * still lacks tickets reserves the capacity that it is likely to use, so that steps of lower rank don't use it during the call for advice.
 *
 * @param ranked - steps in rank order
 * @param options - workers, time and nodes for the round
 * @returns placements and calls to the advice service
 */
export function planRound (ranked: RankedStep[], options: PlanOptions): RoundPlan {
  const snapshots = new Map<string, CapacitySnapshot>()
  const servicesWithReservation = new Set<string>()
  const plan: RoundPlan = { placements: [], adviceRequests: [] }
  for (const rankedStep of ranked) {
    const { service } = rankedStep.route
    let capacity = snapshots.get(service)
    if (capacity === undefined) snapshots.set(service, capacity = new CapacitySnapshot(options.workersOf(service)))
    if (!canProgress(rankedStep, capacity, servicesWithReservation, options)) continue
    const waiting = rankedStep.step.tasks.filter(task => task.phase === 'waiting' && task.notBefore <= options.now)
    if (waiting.length === 0) continue
    planStep(rankedStep, waiting, { capacity, plan, now: options.now, allowedShare: options.allowedShare?.(rankedStep.route.name) ?? DEFAULT_ALLOWED_SHARE, adviceRound: options.adviceRound, servicesWithReservation })
  }
  return plan
}

/** Cheap check that, when many steps wait, excludes most of those for which the round can do nothing. */
function canProgress ({ step, route, lateness }: RankedStep, capacity: CapacitySnapshot, servicesWithReservation: Set<string>, { adviceRound, now }: PlanOptions): boolean {
  const canReserve = step.definition.gang && lateness < 2 && !servicesWithReservation.has(route.service)
  if (!canReserve && !capacity.mayFit(step.definition)) return false
  if (route.advice === undefined || step.allowedByWorker.size > 0) return true
  return step.pendingAdviceCalls === 0 && step.nextAdviceAt <= now && adviceRound.canAssign(route.advice)
}

interface PlanContext {
  capacity: CapacitySnapshot
  plan: RoundPlan
  now: number
  allowedShare: number
  adviceRound: AdviceRound
  /** Services of which a gang has already reserved workers in this round. */
  servicesWithReservation: Set<string>
}

function planStep (rankedStep: RankedStep, waiting: Task[], context: PlanContext): void {
  const { step, route } = rankedStep
  if (step.definition.gang && waiting.length < step.tasks.length) return
  const eligible = context.capacity.slots.filter(slot => isEligible(slot, step))
  const usable = eligible.filter(slot => route.advice === undefined || hasTicket(step, slot.worker, context.now))
  const placedCount = placeTasks(waiting, usable, step, context)
  if (placedCount === waiting.length || route.advice === undefined) {
    if (placedCount === 0 && step.definition.gang) reserveForGang(rankedStep, eligible, context)
    return
  }
  if (step.pendingAdviceCalls > 0 || step.nextAdviceAt > context.now || !context.adviceRound.canAssign(route.advice)) return reserveForPendingAdvice(waiting.length - placedCount, eligible, step)
  planAdviceRequest(rankedStep, waiting.length - placedCount, eligible, context)
}

function isEligible (slot: Slot, step: StepState): boolean {
  const { label } = step.definition
  if (label !== undefined && !slot.worker.report.labels.includes(label)) return false
  return step.allowedByWorker.get(slot.worker.report.id) !== false
}

function hasTicket (step: StepState, worker: WorkerState, now: number): boolean {
  const ticket = step.tickets.get(worker.report.id)
  return ticket !== undefined && ticket.validUntil > now + MIN_TICKET_VALIDITY_MS
}

/**
 * Places as many tasks as fit; of a gang, all tasks or none.
 *
 * @returns number of placed tasks
 */
function placeTasks (waiting: Task[], slots: Slot[], step: StepState, context: PlanContext): number {
  for (const slot of slots) slot.placedTasks = 0
  const ordered = orderSlots(slots, step)
  const chosen: Array<{ task: Task, slot: Slot }> = []
  for (const task of waiting) {
    const slot = findSlot(ordered, step, task)
    if (slot === undefined) {
      if (step.definition.gang) break
      continue
    }
    reserveCapacity(slot, step.definition)
    slot.placedTasks++
    chosen.push({ task, slot })
  }
  if (step.definition.gang && chosen.length < waiting.length) {
    for (const { slot } of chosen) reserveCapacity(slot, step.definition, -1)
    return 0
  }
  for (const { task, slot } of chosen) {
    context.plan.placements.push({ task, worker: slot.worker, ticket: step.tickets.get(slot.worker.report.id)?.text })
  }
  return chosen.length
}

/** Sorts the workers by preferred rack, then by speed, failures and free capacity. Using the fullest workers first keeps others free for gangs. */
function orderSlots (slots: Slot[], step: StepState): Slot[] {
  const rack = step.definition.dataRack ?? (step.definition.sameRack ? findRackWithMostCapacity(slots, step) : undefined)
  const rackPenalty = (slot: Slot): number => rack !== undefined && !slot.worker.report.labels.includes(rack) ? 1 : 0
  return [...slots].sort((a, b) => rackPenalty(a) - rackPenalty(b) || Number(a.worker.isSlow) - Number(b.worker.isSlow) || a.worker.consecutiveFailures - b.worker.consecutiveFailures || a.free.cpu - b.free.cpu)
}

/** @returns label of the rack on which most tasks of the step fit at present */
function findRackWithMostCapacity (slots: Slot[], step: StepState): string | undefined {
  const fitting = new Map<string, number>()
  for (const slot of slots) {
    for (const label of slot.worker.report.labels) {
      if (isRack(label)) fitting.set(label, (fitting.get(label) ?? 0) + taskCapacity(slot, step))
    }
  }
  return [...fitting].sort((a, b) => b[1] - a[1])[0]?.[0]
}

/** Labels of racks have the form `r1-3`. */
function isRack (label: string): boolean {
  return /^r\d+-\d+$/.test(label)
}

function findSlot (slots: Slot[], step: StepState, task: Task): Slot | undefined {
  let fallback: Slot | undefined
  for (const slot of slots) {
    if (taskCapacity(slot, step) < 1) continue
    if (!task.avoidedWorkers.has(slot.worker.report.id)) return slot
    fallback ??= slot
  }
  return fallback
}

/**
 * Plans a call to the advice service for the tasks of a step that are not placed. For a gang, the call is planned only if enough workers
 * are likely to be allowed or if no decision is known yet; otherwise workers are reserved for the gang.
 */
function planAdviceRequest (rankedStep: RankedStep, missing: number, eligible: Slot[], context: PlanContext): void {
  const { step, route } = rankedStep
  const candidates = eligible.filter(slot => taskCapacity(slot, step) > 0 && !hasTicket(step, slot.worker, context.now))
  const allowed = candidates.filter(slot => step.allowedByWorker.get(slot.worker.report.id) === true)
  const unknown = candidates.filter(slot => !step.allowedByWorker.has(slot.worker.report.id))
  const sumCapacity = (slots: Slot[]): number => slots.reduce((sum, slot) => sum + taskCapacity(slot, step), 0)
  const ticketedCapacity = step.definition.gang ? sumCapacity(eligible.filter(slot => hasTicket(step, slot.worker, context.now))) : 0
  const expectedCapacity = sumCapacity(allowed) + ticketedCapacity + sumCapacity(unknown) * context.allowedShare
  const isEnough = step.definition.gang ? expectedCapacity >= missing || (unknown.length > 0 && step.allowedByWorker.size === 0) : candidates.length > 0
  if (!isEnough) {
    if (step.definition.gang) reserveForGang(rankedStep, eligible, context)
    return
  }
  if (route.advice !== undefined) {
    planCalls(rankedStep, route.advice, maxNamed => {
      const workers = selectWorkers(allowed, unknown, { step, missing, allowedShare: context.allowedShare, maxNamed })
      if (step.definition.gang) addTicketHolders(workers, eligible, step, maxNamed)
      return workers
    }, context)
  }
  reserveForPendingAdvice(missing, allowed, step)
}

/**
 * Plans the calls for a step. If nodes are idle, several of them call at the same time, each for a part of the workers: the answers arrive
 * sooner, and all tickets of a wide gang are valid together.
 *
 * @param select - returns the workers to name, at most as many as its argument says
 */
function planCalls ({ step, route }: RankedStep, terms: AdviceTerms, select: (maxNamed: number) => Slot[], { adviceRound, plan }: PlanContext): void {
  const maxCalls = Math.max(1, Math.floor(adviceRound.countAvailable(terms, WORKERS_PER_PARALLEL_CALL) * MAX_PARALLEL_NODE_SHARE))
  const workers = select(Math.max(MAX_NAMED_WORKERS, Math.min(MAX_NAMED_WORKERS_IN_PARALLEL, maxCalls * WORKERS_PER_PARALLEL_CALL)))
  const calls = Math.min(maxCalls, Math.ceil(workers.length / WORKERS_PER_PARALLEL_CALL))
  for (let call = 0; call < calls; call++) {
    const part = workers.filter((_, index) => index % calls === call).map(slot => slot.worker)
    const assignment = adviceRound.assign(terms, part.length)
    if (assignment === undefined) return
    plan.adviceRequests.push({ step, route, workers: part, ...assignment })
  }
}

/** Adds the workers for which the gang has tickets. All its tickets must be valid at the same time, so they are renewed with the missing ones. */
function addTicketHolders (workers: Slot[], eligible: Slot[], step: StepState, maxNamed: number): void {
  for (const slot of eligible) {
    if (workers.length >= maxNamed) return
    if (step.tickets.has(slot.worker.report.id) && taskCapacity(slot, step) > 0 && !workers.includes(slot)) workers.push(slot)
  }
}

interface Selection {
  step: StepState
  /** Number of tasks that lack a worker. */
  missing: number
  allowedShare: number
  maxNamed: number
}

/**
 * Selects workers that are known to be allowed first, then workers for which the decision is unknown, until the expected capacity is twice
 * what is missing and it is unlikely that none of the unknown workers is allowed.
 */
function selectWorkers (allowed: Slot[], unknown: Slot[], { step, missing, allowedShare, maxNamed }: Selection): Slot[] {
  const selected = [...allowed].sort((a, b) => taskCapacity(b, step) - taskCapacity(a, step)).slice(0, maxNamed)
  let expectedCapacity = selected.reduce((sum, slot) => sum + taskCapacity(slot, step), 0)
  let unknownCount = 0
  for (const slot of sortByCapacity(unknown, step)) {
    if (selected.length >= maxNamed || (expectedCapacity >= 2 * missing && Math.pow(1 - allowedShare, unknownCount) < MAX_NONE_ALLOWED_RISK)) break
    selected.push(slot)
    unknownCount++
    expectedCapacity += allowedShare * taskCapacity(slot, step)
  }
  return selected
}

/**
 * Sorts workers by the number of tasks that fit. Workers with equal capacity are in a different order for each step, since steps that ask
 * at the same time would otherwise name the same workers, of which only the first answer can make use.
 */
function sortByCapacity (slots: Slot[], step: StepState): Slot[] {
  const stepHash = hashText(step.name)
  return slots
    .map(slot => ({ slot, capacity: taskCapacity(slot, step), order: mixHashes(stepHash, hashText(slot.worker.report.id)) }))
    .sort((a, b) => b.capacity - a.capacity || a.order - b.order)
    .map(({ slot }) => slot)
}

/** Reserves capacity on allowed workers for a step while a call for its tickets is in flight or planned. */
function reserveForPendingAdvice (missing: number, eligible: Slot[], step: StepState): void {
  let remaining = missing
  for (const slot of eligible) {
    if (remaining <= 0) return
    if (step.allowedByWorker.get(slot.worker.report.id) !== true) continue
    const count = Math.min(remaining, taskCapacity(slot, step))
    reserveCapacity(slot, step.definition, count)
    remaining -= count
  }
}

/**
 * Reserves the allowed workers with the most free capacity for a gang. Steps of lower rank place no tasks that need processor time on
 * them, so that the workers become free. Only one gang of a service reserves workers at a time.
 */
function reserveForGang (rankedStep: RankedStep, eligible: Slot[], context: PlanContext): void {
  const { step, route } = rankedStep
  if (context.servicesWithReservation.has(route.service) || rankedStep.lateness === 2) return
  let remaining = step.tasks.length
  const allowed = eligible.filter(slot => route.advice === undefined || step.allowedByWorker.get(slot.worker.report.id) === true)
  const totalCapacity = (slot: Slot): number => Math.min(countFitting(slot.worker.report.capacity, step.definition), step.definition.perWorker ?? Infinity)
  if (allowed.reduce((sum, slot) => sum + totalCapacity(slot), 0) < remaining) return
  context.servicesWithReservation.add(route.service)
  for (const slot of [...allowed].sort((a, b) => b.free.cpu - a.free.cpu)) {
    if (remaining <= 0) return
    remaining -= totalCapacity(slot)
    slot.free.cpu = 0
  }
}
