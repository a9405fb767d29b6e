/**
 * @param job - the job's id
 * @param occurrence - number of the run of the job, from 0
 * @param step - number of the step
 * @param index - number of the task in its step
 * @returns the name under which workers know the task
 */
export function taskName (job: string, occurrence: number, step: number, index: number): string {
  return `${stepName(job, occurrence, step)}.${index}`
}

/**
 * @param job - the job's id
 * @param occurrence - number of the run of the job
 * @param step - number of the step
 * @returns the name under which the advice service knows the step
 */
export function stepName (job: string, occurrence: number, step: number): string {
  return `${job}.${occurrence}.${step}`
}
