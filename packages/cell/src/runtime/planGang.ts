import { STOP_DURATION_MS } from '@rattanstep/policy'
import type { AdviceTerms } from '../types/configuration.js'
import { emptyTaskCapacity, taskCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import { hasTicket, isAllowed, isEligible, placeTasks } from './placeTasks.js'
import { expectedCallDuration, MAX_NONE_ALLOWED_RISK, planAdviceCalls, sortByCapacity } from './planAdviceCalls.js'
import { reviewRejections } from './reviewRejections.js'
import { addPlacements } from './planRound.js'
import type { RoundContext } from './planRound.js'
import type { StepState } from './model.js'
import { mayHoldCapacity } from './rankSteps.js'
import type { RankedStep } from './rankSteps.js'
import { holdSchedule, releaseHold, scheduleGang } from './scheduleGang.js'
import type { GangSchedule } from './scheduleGang.js'

/** Time that a call for tickets takes in addition to the service's own: two transfers and the wait for the next round. */
const CALL_OVERHEAD_MS = 20
/** Time by which a gang may start later than its tickets could arrive without being held up: errors of the forecast are of this order. */
const START_TOLERANCE_MS = 50
/**
 * Maximum time for which workers are held for a gang before it starts, as a share of its duration. Capacity that is held is used only by tasks
 * that end in time.
 */
const MAX_HOLD_RATIO = 0.3
/** Interval at which a gang is planned again while it waits for tickets and nothing ends on its workers, as a share of its duration. */
const REPLAN_RATIO = 0.05
/** Interval at which a gang that holds no workers is planned again, as a share of its duration: many such gangs wait in a full cell. */
const UNHELD_REPLAN_RATIO = 0.01
/**
 * Maximum interval at which a waiting gang is planned again, whatever its duration: durations of hours are declared too. The platform allows a wait of
 * 3 s, of which a call for advice takes one.
 */
const MAX_REPLAN_INTERVAL_MS = 500
/** Ratio of the tasks that fit on the allowed workers, were they empty, to the tasks of the gang below which more workers are named. */
const MIN_ALLOWED_RATIO = 2
/** Share of a gang's tasks for which workers beyond the held ones are named, because some of these will be late. */
const SPARE_RATIO = 0.5
/** Maximum time after the gang's start at which such a worker is expected to be free. */
const MAX_SPARE_DELAY_MS = 1000

/** A gang in a round of planning. */
interface GangState {
  rankedStep: RankedStep
  /** Workers on which the gang may run, as far as known. */
  eligible: Slot[]
  /** Workers that the advice service allows; all eligible ones if the route needs no advice. */
  allowed: Slot[]
  schedule: GangSchedule | undefined
  /** Whether all scheduled workers have tickets that are valid at the scheduled start. */
  hasTickets: boolean
}

/**
 * Plans a gang. Its tasks start together or not at all, and the tickets of all its workers must be valid at that moment. The gang is therefore
 * scheduled for the time at which its workers are expected to be free, its tickets are asked for just in time, and the workers are held for it
 * meanwhile.
 *
 * @param rankedStep - the gang's step, all of whose tasks wait
 * @param context - the round
 */
export function planGang (rankedStep: RankedStep, context: RoundContext): void {
  const { step, route } = rankedStep
  const { capacity, now, plan } = context
  const start = { now, priority: route.priority, neededSpeedClass: rankedStep.neededSpeedClass }
  const allowed = allowedSlots(rankedStep, context)
  const releases = allowed.reduce((sum, { worker }) => sum + worker.releases, 0)
  const holdsOrAsks = plan.holds.has(step) || step.adviceCounts.asked > 0
  if (step.nextPlanAt > now && (!holdsOrAsks || step.plannedReleases === releases)) return
  step.plannedReleases = releases
  // While it waits for an answer, a gang can only be placed or held elsewhere after runs on its workers have ended.
  step.nextPlanAt = step.adviceCounts.asked === 0 ? now : now + replanInterval(step, REPLAN_RATIO)
  const placements = placeTasks(step.tasks.waiting(), route.advice === undefined ? allowed : allowed.filter(slot => hasTicket(step, slot, now)), step, start)
  if (placements.length > 0) {
    releaseHold(step, capacity.slots)
    plan.holds.delete(step)
    addPlacements(step, placements, context)
    return
  }
  const gang = preemptForGang(scheduleWithTickets(rankedStep, allowed, context), context)
  updateHold(gang, context)
  if (!plan.holds.has(step)) step.nextPlanAt = Math.max(step.nextPlanAt, now + replanInterval(step, UNHELD_REPLAN_RATIO))
  if (route.advice !== undefined && step.adviceCounts.asked === 0 && step.nextAdviceAt <= now) askForTickets(gang, route.advice, context)
}

function replanInterval ({ definition }: StepState, ratio: number): number {
  return Math.min(MAX_REPLAN_INTERVAL_MS, ratio * definition.estimate)
}

function allowedSlots ({ step, route }: RankedStep, { capacity }: RoundContext): Slot[] {
  if (route.advice === undefined) return capacity.slots.filter(slot => isEligible(slot, step))
  return capacity.slotsOf(step.allowedWorkers.keys()).filter(slot => isAllowed(slot, step))
}

/** Schedules a gang on workers with tickets if these are valid long enough, or else on workers for which tickets are or can be asked for. */
function scheduleWithTickets (rankedStep: RankedStep, allowed: Slot[], { capacity, now }: RoundContext): GangState {
  const { step, route } = rankedStep
  const gang = { rankedStep, eligible: capacity.slots, allowed }
  if (route.advice === undefined) return { ...gang, schedule: scheduleGang(step, allowed, { now }), hasTickets: true }
  const ticketed = allowed.filter(slot => hasTicket(step, slot, now))
  const schedule = scheduleGang(step, ticketed, { now })
  if (schedule?.shares.every(({ slot }) => hasTicket(step, slot, schedule.startAt)) === true) return { ...gang, schedule, hasTickets: true }
  if (step.adviceCounts.asked === 0) return { ...gang, schedule: scheduleGang(step, allowed, { now, earliest: now + ticketDelay(route.advice) }), hasTickets: false }
  const asked = allowed.filter(slot => step.askedWorkers.has(slot.worker.report.id) || ticketed.includes(slot))
  return { ...gang, schedule: scheduleGang(step, asked, { now }) ?? scheduleGang(step, allowed, { now }), hasTickets: false }
}

/** If a gang would start too late, schedules it on workers on which runs are stopped so that these end when its tickets arrive. */
function preemptForGang (gang: GangState, { now, preemption }: RoundContext): GangState {
  const { rankedStep, schedule, allowed } = gang
  const { step, route } = rankedStep
  if (preemption?.mayHelp(rankedStep) !== true) return gang
  const count = step.tasks.length
  if (schedule !== undefined && schedule.startAt <= Math.max(preemption.latestStart(rankedStep), now + START_TOLERANCE_MS)) return gang
  const find = (slots: Slot[], earliest: number): GangSchedule | undefined => preemption.findCapacity(rankedStep, slots, { count, earliest })
  if (route.advice === undefined) return { ...gang, schedule: find(allowed, now) ?? schedule }
  const stoppedAt = now + STOP_DURATION_MS
  const ticketed = allowed.filter(slot => hasTicket(step, slot, stoppedAt))
  const withTickets = ticketed.length === 0 ? undefined : find(ticketed, now)
  if (withTickets !== undefined) return { ...gang, schedule: withTickets, hasTickets: true }
  if (step.adviceCounts.asked === 0) return { ...gang, schedule: find(allowed, now + ticketDelay(route.advice)) ?? schedule, hasTickets: false }
  const expectedAt = Math.max(now, step.ticketsExpectedAt)
  step.nextPlanAt = Math.min(step.nextPlanAt, Math.max(now, expectedAt - STOP_DURATION_MS))
  return { ...gang, schedule: find(allowed.filter(slot => step.askedWorkers.has(slot.worker.report.id) || ticketed.includes(slot)), expectedAt) ?? schedule }
}

function ticketDelay (terms: AdviceTerms): number {
  return expectedCallDuration(terms) + CALL_OVERHEAD_MS
}

/**
 * Holds the scheduled workers if the gang starts soon. Of the gangs of a service that start later, the first one holds its workers too, so that
 * even the widest gang starts at some time.
 */
function updateHold ({ rankedStep, schedule }: GangState, { capacity, now, plan, servicesWithLongHold }: RoundContext): void {
  const { step, route } = rankedStep
  releaseHold(step, capacity.slots)
  plan.holds.delete(step)
  if (schedule === undefined || !mayHoldCapacity(rankedStep, capacity.isMostlyFree)) return
  const limit = Math.max(MAX_HOLD_RATIO * step.definition.estimate, route.advice === undefined ? 0 : ticketDelay(route.advice) + START_TOLERANCE_MS)
  if (schedule.startAt - now > limit) {
    if (servicesWithLongHold.has(route.service)) return
    servicesWithLongHold.add(route.service)
  }
  plan.holds.set(step, holdSchedule(step, schedule, { priority: route.priority, now }))
}

/** Asks for tickets of the scheduled workers so that they arrive in time, and for further workers if the allowed ones don't suffice. */
function askForTickets (gang: GangState, terms: AdviceTerms, { now, plan, adviceRound, allowedShare }: RoundContext): void {
  const { rankedStep, schedule, hasTickets } = gang
  const { route } = rankedStep
  if (!adviceRound.canAssign(terms)) return
  const ticketsAt = now + ticketDelay(terms)
  const isLate = schedule === undefined || schedule.startAt > ticketsAt + START_TOLERANCE_MS
  if (hasTickets && !isLate) return
  const scheduled = schedule !== undefined && !hasTickets && schedule.startAt <= ticketsAt ? [...schedule.shares.map(({ slot }) => slot), ...selectSpares(gang, now)] : []
  const named = [...scheduled, ...selectUnknown(gang, { isLate, isCheap: adviceRound.isMostlyIdle, allowedShare: allowedShare(route.name), start: { now, priority: route.priority, neededSpeedClass: rankedStep.neededSpeedClass } })]
  if (named.length === 0 && isLate) reviewRejections(rankedStep.step, { now, isUrgent: schedule === undefined, adviceRound })
  if (named.length === 0) return
  const requests = planAdviceCalls(rankedStep, terms, maxNamed => named.slice(0, maxNamed), adviceRound)
  rankedStep.step.ticketsExpectedAt = now + CALL_OVERHEAD_MS + Math.max(0, ...requests.map(({ cost }) => cost))
  plan.adviceRequests.push(...requests)
}

/** Selects allowed workers beyond the scheduled ones that are expected to be free next. */
function selectSpares ({ rankedStep: { step }, allowed, schedule }: GangState, now: number): Slot[] {
  const scheduled = new Set(schedule?.shares.map(({ slot }) => slot))
  const wider = scheduleGang(step, allowed, { now, count: Math.ceil((1 + SPARE_RATIO) * step.tasks.length) })
  if (wider === undefined || wider.startAt > (schedule?.startAt ?? now) + MAX_SPARE_DELAY_MS) return []
  return wider.shares.flatMap(({ slot }) => scheduled.has(slot) ? [] : [slot])
}

/**
 * Selects workers for which the advice service's decision is not known: if the gang could start on them sooner than on the allowed ones, or if
 * too few are allowed. The platform expects a gang that fits twice over to start, so it may then be worth a call even if the usual share of allowed
 * workers wouldn't do. While most nodes are idle, a gang that would otherwise wait longer than it runs asks even if it is unlikely that enough of
 * them are allowed.
 */
function selectUnknown ({ rankedStep: { step }, eligible, allowed, schedule }: GangState, { isLate, isCheap, allowedShare, start }: { isLate: boolean, isCheap: boolean, allowedShare: number, start: { now: number, priority: number, neededSpeedClass?: number } }): Slot[] {
  const count = step.tasks.length
  const unknown = eligible.filter(slot => isEligible(slot, step) && !isAllowed(slot, step) && emptyTaskCapacity(slot, step) > 0)
  const sum = (slots: Slot[], capacityOf: (slot: Slot) => number): number => slots.reduce((total, slot) => total + capacityOf(slot), 0)
  const capacityNow = (slot: Slot): number => taskCapacity(slot, step, start)
  const isFirst = step.adviceCounts.allowed + step.adviceCounts.rejected === 0
  const unknownNow = sum(unknown, capacityNow)
  const mayFitTwice = unknownNow > 0 && unknownNow + sum(allowed, capacityNow) >= 2 * count
  const waitsLong = isCheap && (schedule === undefined || schedule.startAt > start.now + step.definition.estimate)
  const fitsNow = isFirst || (isLate && (unknownNow * allowedShare >= count || mayFitTwice))
  const capacityOf = fitsNow ? capacityNow : (slot: Slot): number => emptyTaskCapacity(slot, step)
  let missing = MIN_ALLOWED_RATIO * count - (fitsNow ? 0 : sum(allowed, waitsLong ? capacityNow : capacityOf))
  if (missing <= 0) return []
  const selected: Slot[] = []
  let noneAllowedRisk = 1
  for (const slot of sortByCapacity(unknown, step, start)) {
    if (missing <= 0 && noneAllowedRisk < MAX_NONE_ALLOWED_RISK) break
    selected.push(slot)
    missing -= allowedShare * capacityOf(slot)
    noneAllowedRisk *= 1 - allowedShare
  }
  return selected
}
