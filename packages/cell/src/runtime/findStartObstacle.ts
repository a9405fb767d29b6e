import type { Task, WorkerState } from './model.js'
import { reservedSize } from './Registry.js'

/** @returns whether tasks may be placed on a worker, as far as is known at `now` (monotonic ms) */
export function isUsable (worker: WorkerState, now: number): boolean {
  return worker.isListed && isDescribed(worker) && worker.hasAnswered && worker.isReachable && worker.report.state === 'ready' && worker.unknownRuns === 0 && worker.suspendedUntil <= now
}

/**
 * @returns whether the worker's capacity and labels are those of the incarnation that answers. A worker may return under its id as another kind, and its list
 * of runs may arrive before its changed entry.
 */
function isDescribed ({ describedIncarnation, report: { born } }: WorkerState): boolean {
  return describedIncarnation === 0 || born === 0 || describedIncarnation === born
}

/**
 * Checks a placement immediately before its order is sent. While it was recorded, the worker may have changed and the ticket may have expired.
 *
 * @param task - a task that is assigned to its worker
 * @param options - `now`: monotonic ms; `needsTicket`: whether the order must carry a ticket
 * @returns why the task must not be started on the worker, or `undefined` if it may be
 */
export function findStartObstacle ({ worker, step }: Task, { now, needsTicket }: { now: number, needsTicket: boolean }): string | undefined {
  if (worker === undefined || !isUsable(worker, now)) return 'the worker is not usable any more'
  if (needsTicket && (step.ticketFor(worker.report.id)?.validUntil ?? 0) <= now) return 'the ticket has expired'
  const { label } = step.definition
  if (label !== undefined && !worker.report.labels.includes(label)) return 'the worker has not the required label any more'
  const size = reservedSize(step.definition)
  const { used, report: { capacity } } = worker
  const exceeds = (resource: keyof typeof size): boolean => size[resource] > 0 && used[resource] > capacity[resource]
  return exceeds('cpu') || exceeds('memory') || exceeds('accelerators') ? 'the capacity of the worker has shrunk' : undefined
}
