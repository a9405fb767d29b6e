import type { Task, WorkerState } from '../runtime/model.js'
import { speedClassOf, speedOfClass } from './speedClass.js'
import type { WorkerSpeeds } from './WorkerSpeeds.js'

/** Interval at which the speeds that planning considers are updated. */
export const SPEED_UPDATE_INTERVAL_MS = 500
/** Label of a rack, which says nothing about the kind of a worker. */
const RACK = /^r\d+-\d+$/

/**
 * Adds the run of a task that has just completed to the estimates of speed, unless its duration depends on more than its worker: that of a gang depends
 * on the slowest member, that of a task away from its rack on the network, that of a filling task on the worker's other runs.
 *
 * @param speeds - the estimates
 * @param task - the task, whose run still has its worker
 * @param now - monotonic ms
 */
export function noteCompletedRun (speeds: WorkerSpeeds, task: Task, now: number): void {
  const { worker, step: { definition, occurrence, name }, confirmedAt, run, sentRun } = task
  if (worker === undefined || confirmedAt === 0 || definition.gang || definition.lasting || definition.filling || definition.sameRack || definition.dataRack !== undefined) return
  // Of a run that a former decider has ordered, the start is not known.
  if (sentRun !== run) return
  // A run that continues from a checkpoint is shorter.
  if (definition.checkpoints && run > 1) return
  speeds.add({ worker: worker.report.id, kind: kindOf(worker), route: occurrence.job.job.route, step: name, declared: definition.estimate, actual: now - confirmedAt })
}

/**
 * Sets the speeds that planning considers: the estimates while they are uneven, or else 1, so that workers of one speed are used as if nothing were known.
 *
 * @param minSpread - spread above which speeds count as uneven
 * @returns whether speeds are uneven
 */
export function updateSpeeds (speeds: WorkerSpeeds, workers: Iterable<WorkerState>, minSpread?: number): boolean {
  const isUneven = speeds.update(minSpread)
  for (const worker of workers) {
    worker.speed = isUneven ? speeds.estimateOf(worker.report.id, kindOf(worker)) : 1
    worker.speedClass = speedClassOf(worker.speed)
  }
  return isUneven
}

/** @returns the kind of a worker: its service and its labels other than racks */
export function kindOf ({ report }: WorkerState): string {
  return [report.service, ...report.labels.filter(label => !RACK.test(label)).sort()].join(' ')
}

/** @returns number of workers in each class of speed, as text */
export function countSpeedClasses (workers: Iterable<WorkerState>): string {
  const counts = new Map<number, number>()
  for (const { speedClass } of workers) counts.set(speedClass, (counts.get(speedClass) ?? 0) + 1)
  return [...counts].sort(([a], [b]) => a - b).map(([speedClass, count]) => `${speedOfClass(speedClass).toFixed(2)}: ${count}`).join(', ')
}
