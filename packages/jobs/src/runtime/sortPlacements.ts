import type { TaskReport, WorkerReport } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { TaskEvent } from '../types/job.js'
import type { Placement } from './Placement.js'

/** Starts that a worker may refuse before the task is placed elsewhere. */
const MAX_REFUSALS = 3

/** What is to be done for the placements on a worker. */
export interface SortedPlacements {
  /** Leases to extend. */
  renewals: Placement[]
  /** Tasks that were placed and do not run yet. */
  starts: Placement[]
  /** Tasks that must leave the worker. */
  stops: Placement[]
  /** Tasks that no longer run. */
  ended: Placement[]
}

/**
 * Compares what the table places on a worker with what the worker reports.
 *
 * @param placements - what the table says; endings and checkpoints found in the report are noted in them
 * @param report - what the worker says
 * @param receivedAt - when the report came
 * @param context - time and rules
 * @returns what is to be done
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
    else if (isMissing(placement, receivedAt - report.lag)) sorted.stops.push(placement)
    else if (placement.confirmedAt === null) sorted.starts.push(placement)
  }
  return sorted
}

/**
 * Sets how the placement of a task that was stopped ends.
 *
 * @param placement - a task that no longer runs
 * @param context - time and rules
 * @returns the placement
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

function isMissing (placement: Placement, takenAt: number): boolean {
  if (placement.refusals >= MAX_REFUSALS) return true
  return placement.confirmedAt !== null && placement.confirmedAt < takenAt
}

/** A run longer than the bound of its class is cut off; services have no bound. A takeover begins to count anew. */
function isOverBound (placement: Placement, context: Pick<Context, 'clock' | 'classes'>): boolean {
  const rule = context.classes().find(entry => entry.name === placement.row.class)
  if (rule === undefined || rule.kind === 'service' || placement.confirmedAt === null) return false
  return context.clock.now() - placement.confirmedAt > rule.bound
}
