import { emptyTaskCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import type { WaitingTasks } from '../openJobs/TaskList.js'
import type { JobState, StepState, Task } from './model.js'
import { hasTicket, isEligible, placeTasks } from './placeTasks.js'
import { addPlacements, countUnderCap } from './planRound.js'
import type { RoundContext } from './planRound.js'
import type { RankedStep } from './rankSteps.js'

/** Time for which a suspect waits for an empty worker before it shares one with less urgent tasks. */
const EMPTY_WORKER_PATIENCE_MS = 1500
/** Time after which a suspect starts wherever it fits: the platform expects a task that has room to start within 3 s. */
export const SHARED_PATIENCE_MS = 2500

/**
 * Plans the next run of a task under which a worker has crashed: on a worker on which nothing else runs, one task of a job at a time, so that the
 * run shows whether the task was the cause and does little damage if it was. A gang starts as a whole. At most one worker of a service is kept free
 * for a suspect, and none for one that needs a ticket: many suspects would take all workers of a small cell.
 *
 * @param rankedStep - a step of the job
 * @param suspects - the job's suspects
 * @param context - the round
 * @returns workers that may be used for a task that couldn't be placed; empty if nothing is to be placed now
 */
export function planSuspect ({ step, route }: RankedStep, suspects: Task[], context: RoundContext): Slot[] {
  const { job } = step.occurrence
  const { capacity, now, plannedSuspects, reserved } = context
  if (plannedSuspects.has(job) || suspects.some(task => task.phase !== 'waiting')) return []
  const suspect = suspects.find(task => task.step === step && task.notBefore <= now)
  if (suspect === undefined) return []
  if (step.definition.gang && countTasks(step.tasks.waiting({ now })) < step.tasks.length) return []
  const tasks = step.definition.gang ? step.tasks.waiting() : { touched: [suspect], untouched: 0 }
  if (countUnderCap(step, context) < countTasks(tasks)) return []
  job.suspectedSince = job.suspectedSince === 0 ? now : job.suspectedSince
  const kept = reserved.get(job)
  const eligible = [...capacity.slots, ...(kept === undefined ? [] : [kept])].filter(slot => isEligible(slot, step))
  const usable = eligible.filter(slot => isEmpty(slot) || mayShare(slot, step, { ...context, priority: route.priority }))
  const placements = placeTasks(tasks, route.advice === undefined ? usable : usable.filter(slot => hasTicket(step, slot, now)), step, { now, priority: route.priority })
  if (placements.length === 0) {
    if (route.advice === undefined && !step.definition.gang) reserveWorker(step, eligible, context)
    return usable.length > 0 ? usable : eligible
  }
  addPlacements(step, placements, context)
  plannedSuspects.add(job)
  for (const { worker } of placements) capacity.remove(worker.report.id)
  return []
}

function countTasks ({ touched, untouched }: WaitingTasks): number {
  return touched.length + untouched
}

/** @returns whether a suspect that has waited for an empty worker may start beside what runs on a worker */
function mayShare ({ worker }: Slot, step: StepState, { now, priority, priorityOf }: Pick<RoundContext, 'now' | 'priorityOf'> & { priority: number }): boolean {
  const waited = now - step.occurrence.job.suspectedSince
  if (waited >= SHARED_PATIENCE_MS) return true
  if (step.definition.gang || waited < EMPTY_WORKER_PATIENCE_MS) return false
  return [...worker.tasks.values()].every(task => priorityOf(task.step.occurrence.job.job.route) > priority)
}

/** Keeps the worker on which the least runs free for a suspect, if none of the service is kept free. */
function reserveWorker (step: StepState, eligible: Slot[], { capacity, now, reserved }: RoundContext): void {
  const { job } = step.occurrence
  if (reserved.size > 0 || now - job.suspectedSince >= SHARED_PATIENCE_MS) return
  const [slot] = eligible.filter(each => emptyTaskCapacity(each, step) > 0).sort((a, b) => a.worker.tasks.size - b.worker.tasks.size)
  if (slot === undefined) return
  job.reservedWorker = slot.worker.report.id
  capacity.remove(job.reservedWorker)
  reserved.set(job, slot)
}

/**
 * Keeps a worker free for a suspect as in the last round.
 *
 * @param job - a job
 * @param context - the round, for the service of the job's route
 */
export function restoreReservation (job: JobState, { capacity, now, reserved }: Pick<RoundContext, 'capacity' | 'now' | 'reserved'>): void {
  if (job.reservedWorker === '' || reserved.has(job)) return
  const [slot] = capacity.slotsOf([job.reservedWorker])
  if (slot === undefined || reserved.size > 0 || now - job.suspectedSince >= SHARED_PATIENCE_MS) job.reservedWorker = ''
  else {
    capacity.remove(job.reservedWorker)
    reserved.set(job, slot)
  }
}

/** @returns whether nothing runs on the worker or is planned for it in this round */
function isEmpty ({ worker, free }: Slot): boolean {
  const { capacity } = worker.report
  return worker.tasks.size === 0 && free.cpu === capacity.cpu && free.memory === capacity.memory
}
