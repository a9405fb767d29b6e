import type { JobSubmission } from '../types/callers.js'
import { countTasks } from './countTasks.js'

/** Maximum number of tasks in an occurrence of a job. A decider holds them all in memory, about 2 KB each. */
export const MAX_TASKS = 10_000

/** @returns why a job can't be served, or `undefined` if it can */
export function findSubmissionProblem ({ steps, repeat }: JobSubmission): string | undefined {
  const tasks = countTasks(steps)
  if (tasks > MAX_TASKS) return `the steps have ${tasks} tasks, more than ${MAX_TASKS}`
  if (repeat === undefined) return undefined
  if (!Number.isSafeInteger(repeat.count)) return `the number of occurrences, ${repeat.count}, is not a whole number`
  if (repeat.interval < 0) return `the interval between occurrences, ${repeat.interval} ms, is negative`
  return undefined
}
