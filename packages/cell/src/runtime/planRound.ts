import type { Route } from '../types/configuration.js'
import type { Askers } from './AdviceDesk.js'
import type { RankedStep } from './rankSteps.js'
import type { StepState, Task, WorkerState } from './model.js'
import { Room, capacityFor, countFitting, takeRoom } from './Room.js'
import type { Slot } from './Room.js'

/** Most workers named in one question; the advice service takes 100, and a longer list makes every call longer. */
const NAMED_MAX = 60
/** ms that a ticket must still be valid for when its start is decided: a commit and a call. */
const TICKET_RESERVE = 60
/** Accepted chance that none of the workers named is allowed, which costs a second call. */
const NONE_ALLOWED_RISK = 0.02
/** Share of asked workers that advice allows, taken before the first answer of a route. */
const GOOD_SHARE_GUESS = 0.5

/** A start that was decided. */
export interface Placement {
  task: Task
  worker: WorkerState
  ticket?: string
}

/** A question for the advice service. */
export interface AdviceWish {
  step: StepState
  route: Route
  workers: WorkerState[]
  /** Node that asks. */
  node: string
  /** ms of the call. */
  cost: number
}

/** What one round decides. */
export interface Round {
  placements: Placement[]
  wishes: AdviceWish[]
}

/** What a round is planned with. */
export interface PlanOptions {
  /** Usable workers of a service. */
  workersOf: (service: string) => WorkerState[]
  /** Monotonic ms. */
  now: number
  /** Nodes that may be given questions. */
  askers: Askers
  /** Share of workers that advice allowed on a route so far. */
  goodShare?: (route: string) => number | undefined
}

/**
 * Decides which waiting tasks start where. Steps are served in rank order on one picture of the room; a step that still lacks
 * tickets keeps the room it is likely to use, so that lower ranks don't take it while advice is asked.
 *
 * @param ranked - steps in rank order
 * @param options - workers, time and nodes that the round is planned with
 * @returns starts and questions
 */
export function planRound (ranked: RankedStep[], options: PlanOptions): Round {
  const rooms = new Map<string, Room>()
  const draining = new Set<string>()
  const round: Round = { placements: [], wishes: [] }
  for (const entry of ranked) {
    const { service } = entry.route
    let room = rooms.get(service)
    if (room === undefined) rooms.set(service, room = new Room(options.workersOf(service)))
    if (!mayMove(entry, room, draining, options)) continue
    const waiting = entry.step.tasks.filter(task => task.phase === 'waiting' && task.notBefore <= options.now)
    if (waiting.length === 0) continue
    planStep(entry, waiting, { room, round, now: options.now, share: options.goodShare?.(entry.route.name) ?? GOOD_SHARE_GUESS, askers: options.askers, draining })
  }
  return round
}

/** Tells cheaply, for most of the steps of a crowd, that a round can do nothing for them. */
function mayMove ({ step, route, lateness }: RankedStep, room: Room, draining: Set<string>, { askers, now }: PlanOptions): boolean {
  const keeps = step.definition.gang && lateness < 2 && !draining.has(route.service)
  if (!keeps && !room.mayFit(step.definition)) return false
  if (route.advice === undefined || step.rulings.size > 0) return true
  return !step.asking && step.askAfter <= now && askers.mayAsk(route.advice)
}

interface Context {
  room: Room
  round: Round
  now: number
  share: number
  askers: Askers
  /** Services where a gang already keeps workers free. */
  draining: Set<string>
}

function planStep (entry: RankedStep, waiting: Task[], context: Context): void {
  const { step, route } = entry
  if (step.definition.gang && waiting.length < step.tasks.length) return
  const eligible = context.room.slots.filter(slot => isEligible(slot, step))
  const open = eligible.filter(slot => route.advice === undefined || hasTicket(step, slot.worker, context.now))
  const placed = placeTasks(waiting, open, step, context)
  if (placed === waiting.length || route.advice === undefined) {
    if (placed === 0 && step.definition.gang) keepForGang(entry, eligible, context)
    return
  }
  if (step.asking || step.askAfter > context.now || !context.askers.mayAsk(route.advice)) return keepWhileAsking(waiting.length - placed, eligible, step)
  askAdvice(entry, waiting.length - placed, eligible, context)
}

function isEligible (slot: Slot, step: StepState): boolean {
  const { label } = step.definition
  if (label !== undefined && !slot.worker.report.labels.includes(label)) return false
  return step.rulings.get(slot.worker.report.id) !== false
}

function hasTicket (step: StepState, worker: WorkerState, now: number): boolean {
  const ticket = step.tickets.get(worker.report.id)
  return ticket !== undefined && ticket.validUntil > now + TICKET_RESERVE
}

/** Places as many tasks as fit, or all or none of a gang. */
function placeTasks (waiting: Task[], slots: Slot[], step: StepState, context: Context): number {
  for (const slot of slots) slot.taken = 0
  const order = orderSlots(slots, step)
  const chosen: Array<{ task: Task, slot: Slot }> = []
  for (const task of waiting) {
    const slot = findSlot(order, step, task)
    if (slot === undefined) {
      if (step.definition.gang) break
      continue
    }
    takeRoom(slot, step.definition)
    slot.taken++
    chosen.push({ task, slot })
  }
  if (step.definition.gang && chosen.length < waiting.length) {
    for (const { slot } of chosen) takeRoom(slot, step.definition, -1)
    return 0
  }
  for (const { task, slot } of chosen) {
    context.round.placements.push({ task, worker: slot.worker, ticket: step.tickets.get(slot.worker.report.id)?.text })
  }
  return chosen.length
}

/** Fullest worker first keeps whole workers free for gangs; racks near the data go before others. */
function orderSlots (slots: Slot[], step: StepState): Slot[] {
  const rack = step.definition.dataRack ?? (step.definition.sameRack ? roomiestRack(slots, step) : undefined)
  const away = (slot: Slot): number => rack !== undefined && !slot.worker.report.labels.includes(rack) ? 1 : 0
  return [...slots].sort((a, b) => away(a) - away(b) || Number(a.worker.slow) - Number(b.worker.slow) || a.worker.failuresInRow - b.worker.failuresInRow || a.free.cpu - b.free.cpu)
}

function roomiestRack (slots: Slot[], step: StepState): string | undefined {
  const fitting = new Map<string, number>()
  for (const slot of slots) {
    for (const label of slot.worker.report.labels) {
      if (isRack(label)) fitting.set(label, (fitting.get(label) ?? 0) + capacityFor(slot, step))
    }
  }
  return [...fitting].sort((a, b) => b[1] - a[1])[0]?.[0]
}

/** Racks are the labels with a number after a dash, such as `r1-3`. */
function isRack (label: string): boolean {
  return /^r\d+-\d+$/.test(label)
}

function findSlot (order: Slot[], step: StepState, task: Task): Slot | undefined {
  let fallback: Slot | undefined
  for (const slot of order) {
    if (capacityFor(slot, step) < 1) continue
    if (!task.avoid.has(slot.worker.report.id)) return slot
    fallback ??= slot
  }
  return fallback
}

function askAdvice (entry: RankedStep, missing: number, eligible: Slot[], context: Context): void {
  const { step, route } = entry
  const candidates = eligible.filter(slot => capacityFor(slot, step) > 0 && !hasTicket(step, slot.worker, context.now))
  const known = candidates.filter(slot => step.rulings.get(slot.worker.report.id) === true)
  const fresh = candidates.filter(slot => !step.rulings.has(slot.worker.report.id))
  const total = (slots: Slot[]): number => slots.reduce((sum, slot) => sum + capacityFor(slot, step), 0)
  const held = step.definition.gang ? total(eligible.filter(slot => hasTicket(step, slot.worker, context.now))) : 0
  const likely = total(known) + held + total(fresh) * context.share
  const enough = step.definition.gang ? likely >= missing || (fresh.length > 0 && step.rulings.size === 0) : candidates.length > 0
  if (!enough) {
    if (step.definition.gang) keepForGang(entry, eligible, context)
    return
  }
  const workers = nameWorkers(known, fresh, step, missing, context.share)
  if (step.definition.gang) addHeld(workers, eligible, step)
  const asker = route.advice === undefined ? undefined : context.askers.take(route.advice, workers.length)
  if (asker !== undefined) context.round.wishes.push({ step, route, workers: workers.map(slot => slot.worker), ...asker })
  keepWhileAsking(missing, known, step)
}

/** A gang's tickets must be valid at one time, so those in hand are renewed with the missing ones. */
function addHeld (workers: Slot[], eligible: Slot[], step: StepState): void {
  for (const slot of eligible) {
    if (workers.length >= NAMED_MAX) return
    if (step.tickets.has(slot.worker.report.id) && capacityFor(slot, step) > 0 && !workers.includes(slot)) workers.push(slot)
  }
}

/** Names allowed workers first, then so many unknown ones that enough of them are allowed almost surely. */
function nameWorkers (known: Slot[], fresh: Slot[], step: StepState, missing: number, share: number): Slot[] {
  const named = [...known].sort((a, b) => capacityFor(b, step) - capacityFor(a, step)).slice(0, NAMED_MAX)
  let expected = named.reduce((sum, slot) => sum + capacityFor(slot, step), 0)
  let unknown = 0
  for (const slot of [...fresh].sort((a, b) => capacityFor(b, step) - capacityFor(a, step))) {
    if (named.length >= NAMED_MAX || (expected >= 2 * missing && Math.pow(1 - share, unknown) < NONE_ALLOWED_RISK)) break
    named.push(slot)
    unknown++
    expected += share * capacityFor(slot, step)
  }
  return named
}

/** Keeps room on allowed workers for a step whose tickets are under way. */
function keepWhileAsking (missing: number, eligible: Slot[], step: StepState): void {
  let left = missing
  for (const slot of eligible) {
    if (left <= 0) return
    if (step.rulings.get(slot.worker.report.id) !== true) continue
    const count = Math.min(left, capacityFor(slot, step))
    takeRoom(slot, step.definition, count)
    left -= count
  }
}

/** Keeps what becomes free on the allowed workers nearest to empty, for one gang of a service at a time. */
function keepForGang (entry: RankedStep, eligible: Slot[], context: Context): void {
  const { step, route } = entry
  if (context.draining.has(route.service) || entry.lateness === 2) return
  let left = step.tasks.length
  const allowed = eligible.filter(slot => route.advice === undefined || step.rulings.get(slot.worker.report.id) === true)
  const whole = (slot: Slot): number => Math.min(countFitting(slot.worker.report.capacity, step.definition), step.definition.perWorker ?? Infinity)
  if (allowed.reduce((sum, slot) => sum + whole(slot), 0) < left) return
  context.draining.add(route.service)
  for (const slot of [...allowed].sort((a, b) => b.free.cpu - a.free.cpu)) {
    if (left <= 0) return
    left -= whole(slot)
    slot.free.cpu = 0
  }
}
