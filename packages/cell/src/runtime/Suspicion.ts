import { countCrashes } from './CrashBudget.js'
import type { JobState, Task, WorkerState } from './model.js'

/** Time after which a suspected run no longer needs a worker of its own: tasks that crash their workers do so soon after the start. */
const ISOLATION_MS = 4000
/** Number of crashes from which a task is isolated even if another task of its job has proven harmless. */
const ALWAYS_ISOLATED_CRASHES = 2

/**
 * @param task - a task
 * @param now - monotonic ms
 * @returns whether the task must have a worker of its own, because a worker has crashed under it and another job could be held for the cause
 */
export function needsIsolation (task: Task, now: number): boolean {
  const crashes = countCrashes(task)
  if (crashes === 0 || task.phase === 'done') return false
  if (crashes < ALWAYS_ISOLATED_CRASHES && task.step.occurrence.job.isCleared) return false
  return task.phase !== 'running' || now - task.confirmedAt < ISOLATION_MS
}

/** @returns the tasks of a job that must have workers of their own; while there are any, the job's other tasks don't start */
export function suspectsOf ({ suspects }: JobState, now: number): Task[] {
  return suspects.size === 0 ? [] : [...suspects].filter(task => needsIsolation(task, now))
}

/** @returns the workers on which nothing else may start, because a suspect runs there */
export function isolatedWorkers (jobs: Iterable<JobState>, now: number): Set<WorkerState> {
  const workers = new Set<WorkerState>()
  for (const job of jobs) for (const { worker } of suspectsOf(job, now)) if (worker !== undefined) workers.add(worker)
  return workers
}
