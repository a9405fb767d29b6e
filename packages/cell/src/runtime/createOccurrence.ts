import { StepState } from '../openJobs/StepState.js'
import { TaskCounter } from '../openJobs/TaskCounter.js'
import type { JobOccurrence, JobState } from './model.js'

/**
 * Creates an occurrence of a job, with all its steps.
 *
 * @param job - the job
 * @param index - number of the occurrence, from 0
 * @param counter - counts the objects of its tasks
 * @returns the occurrence, of which nothing has run
 */
export function createOccurrence (job: JobState, index: number, counter = new TaskCounter()): JobOccurrence {
  const occurrence: JobOccurrence = { job, index, dueAt: job.firstDueAt + index * (job.job.repeat?.interval ?? 0), steps: [], doneSteps: 0 }
  occurrence.steps = job.job.steps.map((definition, index) => new StepState(occurrence, index, definition, counter))
  return occurrence
}
