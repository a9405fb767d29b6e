import type { CapBudget } from '@rattanstep/policy'
import { countFitting, freeCapacity } from './CapacitySnapshot.js'
import { isEligible } from './placeTasks.js'
import type { GangHold, StepState, TaskPhase, WorkerState } from './model.js'
import type { ScheduledRoute } from '../types/configuration.js'

/**
 * What holds up a ready step:
 *
 * - `no-route`: the decider doesn't know the route of the job
 * - `member-busy`: a gang of which some members are not waiting, so that it can't be placed
 * - `delayed`: all waiting tasks have a time before which they are not placed
 * - `cap`: the cap of the job's organisation allows no further task, or not all tasks of a gang
 * - `no-worker`: the step may run on none of the usable workers, as far as known
 * - `no-room`: no worker on which the step may run has room for one task, or for all tasks of a gang
 * - `held`: there is room only where it is held for gangs
 * - `advice-pending`: a call to the advice service is in flight or about to be repeated
 * - `no-advice`: there is room, but no worker with a valid ticket
 * - `other`: none of these, for example because the next round of planning is due
 */
export type WaitReason = 'no-route' | 'member-busy' | 'delayed' | 'cap' | 'no-worker' | 'no-room' | 'held' | 'advice-pending' | 'no-advice' | 'other'

/** All reasons, for metrics. */
export const WAIT_REASONS: readonly WaitReason[] = ['no-route', 'member-busy', 'delayed', 'cap', 'no-worker', 'no-room', 'held', 'advice-pending', 'no-advice', 'other']

/** What a decider knows about a ready step that isn't placed. */
export interface WaitFacts {
  reason: WaitReason
  waiting: number
  /** Number of the step's tasks in each other phase that occurs. */
  phases: Partial<Record<TaskPhase, number>>
  /** Number of workers of the service on which tasks may be placed. */
  usable: number
  /** Number of those that the step may use as far as known. */
  eligible: number
  /** Numbers of workers on which the advice service allows the step, doesn't allow it, and about which a call is in flight. */
  allowed: number
  rejected: number
  asked: number
  /** Number of tasks that fit now on the workers that the step may use, with and without what is held for other gangs. */
  fitting: number
  unheld: number
  /** Number of usable workers with a valid ticket. */
  tickets: number
}

/** Input of an explanation. */
export interface WaitContext {
  route: ScheduledRoute | undefined
  /** Workers of the route's service on which tasks may be placed. */
  workers: WorkerState[]
  /** Holds of the last round of planning. */
  holds: ReadonlyMap<StepState, GangHold>
  /** What is left of the cap of the job's organisation; absent without a cap. */
  capBudget?: CapBudget | undefined
  /** Monotonic ms. */
  now: number
}

/** @returns why a ready step isn't placed, as far as the decider's state tells */
export function explainWait (step: StepState, context: WaitContext): WaitFacts {
  const { route, workers, holds, now, capBudget } = context
  const facts: WaitFacts = { reason: 'other', waiting: 0, phases: {}, usable: workers.length, eligible: 0, ...step.adviceCounts, fitting: 0, unheld: 0, tickets: 0 }
  const { tasks } = step
  facts.waiting = tasks.countWaiting()
  for (const { phase, worker } of tasks.touched()) if (phase !== 'waiting' && (phase !== 'done' || worker !== undefined)) facts.phases[phase] = (facts.phases[phase] ?? 0) + 1
  if (step.doneTasks > 0) facts.phases.done = step.doneTasks
  const held = new Set([...holds].flatMap(([owner, { tasksByWorker }]) => owner === step ? [] : [...tasksByWorker.keys()]))
  for (const worker of workers) {
    if (!isEligible({ worker }, step)) continue
    facts.eligible++
    const ticket = step.ticketFor(worker.report.id)
    if (ticket !== undefined && ticket.validUntil > now) facts.tickets++
    const fitting = countFitting(freeCapacity(worker), step.definition)
    facts.fitting += fitting
    if (!held.has(worker.report.id)) facts.unheld += fitting
  }
  facts.reason = findReason(step, facts, { route, now, capBudget })
  return facts
}

function findReason (step: StepState, facts: WaitFacts, { route, now, capBudget }: Pick<WaitContext, 'route' | 'now' | 'capBudget'>): WaitReason {
  const { gang } = step.definition
  if (route === undefined) return 'no-route'
  if (gang && facts.waiting < step.tasks.length) return 'member-busy'
  if (isNoneDue(step, now)) return 'delayed'
  const needed = gang ? step.tasks.length : 1
  if (capBudget !== undefined && capBudget.countFitting(step.definition.size) < needed) return 'cap'
  if (facts.eligible === 0) return 'no-worker'
  if (facts.fitting < needed) return 'no-room'
  if (facts.unheld < needed) return 'held'
  if (route.advice === undefined) return 'other'
  if (facts.asked > 0 || step.nextAdviceAt > now) return 'advice-pending'
  return facts.tickets === 0 ? 'no-advice' : 'other'
}

/** @returns whether all waiting tasks of a step have a time before which they are not placed */
function isNoneDue ({ tasks }: StepState, now: number): boolean {
  return tasks.untouched === 0 && tasks.waiting({ now }).touched.length === 0
}
