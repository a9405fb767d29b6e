import type { TaskReport, WorkerReport } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { TaskEvent } from '../types/job.js'
import type { Placement } from './Placement.js'

/** Number of refused start commands after which a task is placed elsewhere. */
const MAX_REFUSALS = 3

/** The placements on a worker, sorted by the action that they need. */
export interface SortedPlacements {
  /** Running tasks whose leases are renewed. */
  renewals: Placement[]
  /** Tasks that are placed and do not run yet. */
  starts: Placement[]
  /** Tasks that must be stopped. */
  stops: Placement[]
  /** Tasks that no longer run and whose end must be written. */
  ended: Placement[]
}

/**
 * Compares the tasks that the table places on a worker with the report of the worker.
 *
 * @param placements - the placements; end events, checkpoints and confirmations found in the report are stored in them
 * @param report - newest report of the worker
 * @param receivedAt - time at which the report arrived
 * @param context - clock and classes of the rules
 * @returns the placements, sorted by the action that they need
 */
export function sortPlacements (placements: Placement[], report: WorkerReport, receivedAt: number, context: Pick<Context, 'clock' | 'classes'>): SortedPlacements {
  const sorted: SortedPlacements = { renewals: [], starts: [], stops: [], ended: [] }
  const reports = new Map(report.tasks.map(task => [task.task, task]))
  for (const placement of placements) {
    const sameTask = reports.get(placement.name)
    const current = sameTask?.fence === placement.row.fence ? sameTask : undefined
    if (current !== undefined) applyReport(placement, current, context.clock.now())
    if (placement.endEvent !== null) sorted.ended.push(placement)
    else if (placement.intent !== 'run') sorted.stops.push(placement)
    else if (current !== undefined && isOverBound(placement, context)) sorted.stops.push(placement)
    else if (current !== undefined) sorted.renewals.push(placement)
    else if (isRefusedOrMissing(placement, receivedAt - report.lag)) sorted.stops.push(placement)
    else if (placement.confirmedAt === null) sorted.starts.push(placement)
  }
  return sorted
}

/**
 * Sets the event that ends the placement of a stopped task, unless one is set already.
 *
 * @param placement - placement of a task that no longer runs
 * @param context - clock and classes of the rules
 * @returns the same placement
 */
export function setEndEvent (placement: Placement, context: Pick<Context, 'clock' | 'classes'>): Placement {
  if (placement.endEvent !== null) return placement
  if (placement.intent !== 'run') placement.endEvent = 'stopped'
  else placement.endEvent = isOverBound(placement, context) ? 'retry' : 'lose'
  return placement
}

function applyReport (placement: Placement, report: TaskReport, now: number): void {
  if (report.checkpoint !== '') placement.checkpoint = report.checkpoint
  if (report.state === 'running') placement.confirmedAt ??= now
  else placement.endEvent ??= endEventOf(report, placement)
}

function endEventOf (report: TaskReport, placement: Placement): TaskEvent {
  if (report.state === 'done') return 'finish'
  if (report.state === 'failed') return 'retry'
  return placement.intent === 'run' ? 'lose' : 'stopped'
}

/** Whether the worker refused the task too often, or confirmed it before the report was made and no longer lists it. */
function isRefusedOrMissing (placement: Placement, takenAt: number): boolean {
  if (placement.refusals >= MAX_REFUSALS) return true
  return placement.confirmedAt !== null && placement.confirmedAt < takenAt
}

/** Whether a run exceeds the bound of its class. Services have no bound. After a takeover, the run time counts from zero again. */
function isOverBound (placement: Placement, context: Pick<Context, 'clock' | 'classes'>): boolean {
  const jobClass = context.classes().find(entry => entry.name === placement.row.class)
  if (jobClass === undefined || jobClass.kind === 'service' || placement.confirmedAt === null) return false
  return context.clock.now() - placement.confirmedAt > jobClass.bound
}
