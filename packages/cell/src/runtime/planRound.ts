import type { Route } from '../types/configuration.js'
import type { AdviceRound } from './AdviceScheduler.js'
import type { RankedStep } from './rankSteps.js'
import type { StepState, Task, WorkerState } from './model.js'
import { CapacitySnapshot, taskCapacity, countFitting, reserveCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'

/** Most workers named in one question; the advice service takes 100, and a longer list makes every call longer. */
const MAX_NAMED_WORKERS = 60
/** ms that a ticket must still be valid for when its start is decided: a commit and a call. */
const MIN_TICKET_VALIDITY_MS = 60
/** Accepted chance that none of the workers named is allowed, which costs a second call. */
const MAX_NONE_ALLOWED_RISK = 0.02
/** Share of asked workers that advice allows, taken before the first answer of a route. */
const DEFAULT_ALLOWED_SHARE = 0.5

/** A start that was decided. */
export interface Placement {
  task: Task
  worker: WorkerState
  ticket?: string
}

/** A question for the advice service. */
export interface AdviceRequest {
  step: StepState
  route: Route
  workers: WorkerState[]
  /** Node that asks. */
  node: string
  /** ms of the call. */
  cost: number
}

/** What one round decides. */
export interface RoundPlan {
  placements: Placement[]
  adviceRequests: AdviceRequest[]
}

/** What a round is planned with. */
export interface PlanOptions {
  /** Usable workers of a service. */
  workersOf: (service: string) => WorkerState[]
  /** Monotonic ms. */
  now: number
  /** Nodes that may be given questions. */
  adviceRound: AdviceRound
  /** Share of workers that advice allowed on a route so far. */
  allowedShare?: (route: string) => number | undefined
}

/**
 * Decides which waiting tasks start where. Steps are served in rank order on one picture of the room; a step that still lacks
 * tickets keeps the room it is likely to use, so that lower ranks don't take it while advice is asked.
 *
 * @param ranked - steps in rank order
 * @param options - workers, time and nodes that the round is planned with
 * @returns starts and questions
 */
export function planRound (ranked: RankedStep[], options: PlanOptions): RoundPlan {
  const snapshots = new Map<string, CapacitySnapshot>()
  const drainingServices = new Set<string>()
  const plan: RoundPlan = { placements: [], adviceRequests: [] }
  for (const rankedStep of ranked) {
    const { service } = rankedStep.route
    let capacity = snapshots.get(service)
    if (capacity === undefined) snapshots.set(service, capacity = new CapacitySnapshot(options.workersOf(service)))
    if (!canProgress(rankedStep, capacity, drainingServices, options)) continue
    const waiting = rankedStep.step.tasks.filter(task => task.phase === 'waiting' && task.notBefore <= options.now)
    if (waiting.length === 0) continue
    planStep(rankedStep, waiting, { capacity, plan, now: options.now, allowedShare: options.allowedShare?.(rankedStep.route.name) ?? DEFAULT_ALLOWED_SHARE, adviceRound: options.adviceRound, drainingServices })
  }
  return plan
}

/** Tells cheaply, for most of the steps of a crowd, that a round can do nothing for them. */
function canProgress ({ step, route, lateness }: RankedStep, room: CapacitySnapshot, draining: Set<string>, { adviceRound: askers, now }: PlanOptions): boolean {
  const mayReserve = step.definition.gang && lateness < 2 && !draining.has(route.service)
  if (!mayReserve && !room.mayFit(step.definition)) return false
  if (route.advice === undefined || step.allowedByWorker.size > 0) return true
  return !step.isAdvicePending && step.nextAdviceAt <= now && askers.canAssign(route.advice)
}

interface PlanContext {
  capacity: CapacitySnapshot
  plan: RoundPlan
  now: number
  allowedShare: number
  adviceRound: AdviceRound
  /** Services where a gang already keeps workers free. */
  drainingServices: Set<string>
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
  if (step.isAdvicePending || step.nextAdviceAt > context.now || !context.adviceRound.canAssign(route.advice)) return reserveForPendingAdvice(waiting.length - placedCount, eligible, step)
  askAdvice(rankedStep, waiting.length - placedCount, eligible, context)
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

/** Places as many tasks as fit, or all or none of a gang. */
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

/** Fullest worker first keeps whole workers free for gangs; racks near the data go before others. */
function orderSlots (slots: Slot[], step: StepState): Slot[] {
  const rack = step.definition.dataRack ?? (step.definition.sameRack ? findLargestRack(slots, step) : undefined)
  const rackPenalty = (slot: Slot): number => rack !== undefined && !slot.worker.report.labels.includes(rack) ? 1 : 0
  return [...slots].sort((a, b) => rackPenalty(a) - rackPenalty(b) || Number(a.worker.isSlow) - Number(b.worker.isSlow) || a.worker.consecutiveFailures - b.worker.consecutiveFailures || a.free.cpu - b.free.cpu)
}

function findLargestRack (slots: Slot[], step: StepState): string | undefined {
  const fitting = new Map<string, number>()
  for (const slot of slots) {
    for (const label of slot.worker.report.labels) {
      if (isRack(label)) fitting.set(label, (fitting.get(label) ?? 0) + taskCapacity(slot, step))
    }
  }
  return [...fitting].sort((a, b) => b[1] - a[1])[0]?.[0]
}

/** Racks are the labels with a number after a dash, such as `r1-3`. */
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

function askAdvice (rankedStep: RankedStep, missing: number, eligible: Slot[], context: PlanContext): void {
  const { step, route } = rankedStep
  const candidates = eligible.filter(slot => taskCapacity(slot, step) > 0 && !hasTicket(step, slot.worker, context.now))
  const allowed = candidates.filter(slot => step.allowedByWorker.get(slot.worker.report.id) === true)
  const unknown = candidates.filter(slot => !step.allowedByWorker.has(slot.worker.report.id))
  const total = (slots: Slot[]): number => slots.reduce((sum, slot) => sum + taskCapacity(slot, step), 0)
  const ticketed = step.definition.gang ? total(eligible.filter(slot => hasTicket(step, slot.worker, context.now))) : 0
  const expected = total(allowed) + ticketed + total(unknown) * context.allowedShare
  const enough = step.definition.gang ? expected >= missing || (unknown.length > 0 && step.allowedByWorker.size === 0) : candidates.length > 0
  if (!enough) {
    if (step.definition.gang) reserveForGang(rankedStep, eligible, context)
    return
  }
  const workers = selectWorkers(allowed, unknown, step, missing, context.allowedShare)
  if (step.definition.gang) addTicketHolders(workers, eligible, step)
  const asker = route.advice === undefined ? undefined : context.adviceRound.assign(route.advice, workers.length)
  if (asker !== undefined) context.plan.adviceRequests.push({ step, route, workers: workers.map(slot => slot.worker), ...asker })
  reserveForPendingAdvice(missing, allowed, step)
}

/** A gang's tickets must be valid at one time, so those in hand are renewed with the missing ones. */
function addTicketHolders (workers: Slot[], eligible: Slot[], step: StepState): void {
  for (const slot of eligible) {
    if (workers.length >= MAX_NAMED_WORKERS) return
    if (step.tickets.has(slot.worker.report.id) && taskCapacity(slot, step) > 0 && !workers.includes(slot)) workers.push(slot)
  }
}

/** Names allowed workers first, then so many unknown ones that enough of them are allowed almost surely. */
function selectWorkers (known: Slot[], fresh: Slot[], step: StepState, missing: number, share: number): Slot[] {
  const named = [...known].sort((a, b) => taskCapacity(b, step) - taskCapacity(a, step)).slice(0, MAX_NAMED_WORKERS)
  let expected = named.reduce((sum, slot) => sum + taskCapacity(slot, step), 0)
  let unknown = 0
  for (const slot of [...fresh].sort((a, b) => taskCapacity(b, step) - taskCapacity(a, step))) {
    if (named.length >= MAX_NAMED_WORKERS || (expected >= 2 * missing && Math.pow(1 - share, unknown) < MAX_NONE_ALLOWED_RISK)) break
    named.push(slot)
    unknown++
    expected += share * taskCapacity(slot, step)
  }
  return named
}

/** Keeps room on allowed workers for a step whose tickets are under way. */
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

/** Keeps what becomes free on the allowed workers nearest to empty, for one gang of a service at a time. */
function reserveForGang (rankedStep: RankedStep, eligible: Slot[], context: PlanContext): void {
  const { step, route } = rankedStep
  if (context.drainingServices.has(route.service) || rankedStep.lateness === 2) return
  let remaining = step.tasks.length
  const allowed = eligible.filter(slot => route.advice === undefined || step.allowedByWorker.get(slot.worker.report.id) === true)
  const totalCapacity = (slot: Slot): number => Math.min(countFitting(slot.worker.report.capacity, step.definition), step.definition.perWorker ?? Infinity)
  if (allowed.reduce((sum, slot) => sum + totalCapacity(slot), 0) < remaining) return
  context.drainingServices.add(route.service)
  for (const slot of [...allowed].sort((a, b) => b.free.cpu - a.free.cpu)) {
    if (remaining <= 0) return
    remaining -= totalCapacity(slot)
    slot.free.cpu = 0
  }
}
