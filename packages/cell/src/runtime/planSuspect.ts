import { emptyTaskCapacity, taskCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import type { StepState, Task } from './model.js'
import { hasTicket, isEligible, placeTasks } from './placeTasks.js'
import type { RoundContext } from './planRound.js'
import type { RankedStep } from './rankSteps.js'

/** Time for which a suspect waits for an empty worker before one is kept free for it. */
const EMPTY_WORKER_PATIENCE_MS = 500
/** Time after which a suspect shares that worker with less urgent tasks. */
const LESS_URGENT_PATIENCE_MS = 1500
/** Time after which a suspect starts wherever it fits. */
export const SHARED_PATIENCE_MS = 2500

/**
 * Plans the next run of a task under which a worker has crashed: on a worker on which nothing else runs, one task of a job at a time, so that the
 * run shows whether the task was the cause and does little damage if it was. A gang starts as a whole.
 *
 * @param rankedStep - a step of the job
 * @param suspects - the job's suspects
 * @param context - the round
 * @returns workers that may be used for a task that couldn't be placed; empty if nothing is to be placed now
 */
export function planSuspect ({ step, route }: RankedStep, suspects: Task[], context: RoundContext): Slot[] {
  const { job } = step.occurrence
  const { capacity, now, plan, plannedSuspects } = context
  if (plannedSuspects.has(job) || suspects.some(task => task.phase !== 'waiting')) return []
  const suspect = suspects.find(task => task.step === step && task.notBefore <= now)
  if (suspect === undefined) return []
  job.suspectedSince = job.suspectedSince === 0 ? now : job.suspectedSince
  const tasks = step.definition.gang ? step.tasks : [suspect]
  const eligible = capacity.slots.filter(slot => isEligible(slot, step))
  const empty = eligible.filter(isEmpty)
  const usable = chooseSlots(step, context, { eligible, empty, priority: route.priority })
  const placements = placeTasks(tasks, route.advice === undefined ? usable : usable.filter(slot => hasTicket(step, slot, now)), step, { now, priority: route.priority })
  if (placements.length === 0) return empty.length > 0 ? empty : eligible
  plan.placements.push(...placements)
  plannedSuspects.add(job)
  for (const { worker } of placements) capacity.remove(worker.report.id)
  return []
}

/** Chooses the workers on which a suspect may start now, and after a while keeps one free for it. */
function chooseSlots (step: StepState, context: RoundContext, { eligible, empty, priority }: { eligible: Slot[], empty: Slot[], priority: number }): Slot[] {
  const { job } = step.occurrence
  const { now, capacity, reserved } = context
  const waited = now - job.suspectedSince
  if (step.definition.gang) return waited < SHARED_PATIENCE_MS ? empty : eligible
  if (empty.length > 0 && waited < EMPTY_WORKER_PATIENCE_MS) return empty
  const urgentTasks = (slot: Slot): number => [...slot.worker.tasks.values()].filter(task => context.priorityOf(task.step.occurrence.job.job.route) <= priority).length
  const kept = reserved.get(job) ?? reserveWorker(step, { eligible, urgentTasks })
  if (kept === undefined) return empty
  job.reservedWorker = kept.worker.report.id
  capacity.remove(job.reservedWorker)
  const isUsable = isEmpty(kept) || waited >= SHARED_PATIENCE_MS || (waited >= LESS_URGENT_PATIENCE_MS && urgentTasks(kept) === 0)
  return isUsable && taskCapacity(kept, step) > 0 ? [...empty, kept] : empty
}

function reserveWorker (step: StepState, { eligible, urgentTasks }: { eligible: Slot[], urgentTasks: (slot: Slot) => number }): Slot | undefined {
  const fitting = eligible.filter(slot => emptyTaskCapacity(slot, step) > 0)
  return fitting.sort((a, b) => urgentTasks(a) - urgentTasks(b) || a.worker.tasks.size - b.worker.tasks.size)[0]
}

/** @returns whether nothing runs on the worker or is planned for it in this round */
function isEmpty ({ worker, free }: Slot): boolean {
  const { capacity } = worker.report
  return worker.tasks.size === 0 && free.cpu === capacity.cpu && free.memory === capacity.memory
}
