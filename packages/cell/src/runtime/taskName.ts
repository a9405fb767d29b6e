/**
 * @param job - id of the job
 * @param occurrence - index of the job's occurrence, from 0
 * @param step - index of the step
 * @param index - index of the task in its step
 * @returns the task's name, as used in orders to workers
 */
export function taskName (job: string, occurrence: number, step: number, index: number): string {
  return `${stepName(job, occurrence, step)}.${index}`
}

/** @returns id of the job of a task with this name */
export function jobIdOf (task: string): string {
  return task.split('.', 1)[0]!
}

/**
 * @param job - id of the job
 * @param occurrence - index of the job's occurrence, from 0
 * @param step - index of the step
 * @returns the step's name, as used in calls to the advice service
 */
export function stepName (job: string, occurrence: number, step: number): string {
  return `${job}.${occurrence}.${step}`
}
