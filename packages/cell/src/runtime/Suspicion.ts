import { countCrashes } from './CrashBudget.js'
import type { JobState, Task, WorkerState } from './model.js'
import type { Registry } from './Registry.js'

/** Time after which a suspected run no longer needs a worker of its own: tasks that crash their workers do so soon after the start. */
const ISOLATION_MS = 4000
/** Maximum share of the workers on which nothing but a suspect may run. */
const MAX_ISOLATED_SHARE = 0.25
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
  return !hasRunForLong(task, now)
}

/** A run on a worker that doesn't answer may have crashed it. */
function hasRunForLong ({ phase, worker, confirmedAt }: Task, now: number): boolean {
  return phase === 'running' && worker?.isReachable === true && now - confirmedAt >= ISOLATION_MS
}

/** A task that has run for a while clears the others of its job under which only one worker has crashed: they run the same program. */
export function updateClearance (job: JobState, now: number): void {
  if ([...job.suspects].some(task => hasRunForLong(task, now))) job.isCleared = true
}

/** @returns the tasks of a job that must have workers of their own; while there are any, the job's other tasks don't start */
export function suspectsOf ({ suspects }: JobState, now: number): Task[] {
  return suspects.size === 0 ? [] : [...suspects].filter(task => needsIsolation(task, now))
}

/**
 * @param registry - jobs and workers
 * @param now - monotonic ms
 * @returns the workers on which nothing else may start, because a suspect runs there; a limited share, so that most jobs go on after many crashes
 */
export function isolatedWorkers ({ suspectedJobs, workers }: Pick<Registry, 'suspectedJobs' | 'workers'>, now: number): Set<WorkerState> {
  const isolated = new Set<WorkerState>()
  const limit = workers.size === 1 ? 0 : Math.ceil(MAX_ISOLATED_SHARE * workers.size)
  for (const job of suspectedJobs) {
    for (const { worker } of suspectsOf(job, now)) if (worker !== undefined && isolated.size < limit) isolated.add(worker)
  }
  return isolated
}
