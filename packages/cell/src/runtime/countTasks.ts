import type { Step } from '../types/job.js'

/**
 * @param steps - steps of a job
 * @returns number of tasks in each occurrence of the job
 */
export function countTasks (steps: Step[]): number {
  return steps.reduce((sum, { count }) => sum + count, 0)
}
