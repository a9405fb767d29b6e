import type { Size } from '../types/job.js'
import type { StepState, Task, WorkerState } from './model.js'
import { reservedSize } from './Registry.js'

/** Resources that a worker's run is expected to release. */
export interface Release {
  /** Monotonic ms. */
  at: number
  size: Size
}

/** Expected remaining time of a run that takes longer than declared, as a share of the declared duration; these are off by a fifth to a half. */
const OVERRUN_RATIO = 0.1

/**
 * Forecasts when the runs of a worker end, by their progress or else by their declared durations. Tasks of lasting steps don't end.
 *
 * @param worker - the worker
 * @param now - monotonic ms
 * @returns the expected releases, the earliest first
 */
export function forecastReleases (worker: WorkerState, now: number): Release[] {
  const releases: Release[] = []
  for (const task of worker.tasks.values()) {
    const { definition } = task.step
    if (!definition.lasting) releases.push({ at: expectedEnd(task, now), size: reservedSize(definition) })
  }
  return releases.sort((a, b) => a.at - b.at)
}

/**
 * Members of a gang end together, when the last one is done.
 *
 * @param task - a task that is assigned to a worker
 * @param now - monotonic ms
 * @returns monotonic ms at which the task's run is expected to end
 */
export function expectedEnd (task: Task, now: number): number {
  const { phase, step } = task
  if (phase === 'done' || phase === 'stopping') return now
  const projectedEndAt = step.definition.gang ? latestProjectedEnd(step) : task.projectedEndAt
  const declaredEndAt = (task.confirmedAt > 0 ? task.confirmedAt : now) + step.definition.estimate
  const endAt = projectedEndAt > 0 ? projectedEndAt : declaredEndAt
  return endAt > now ? endAt : now + OVERRUN_RATIO * step.definition.estimate
}

function latestProjectedEnd ({ tasks }: StepState): number {
  let latest = 0
  for (const { projectedEndAt } of tasks.touched()) latest = Math.max(latest, projectedEndAt)
  return latest
}
