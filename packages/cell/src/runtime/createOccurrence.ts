import type { Step } from '../types/job.js'
import type { JobOccurrence, JobState, StepState } from './model.js'
import { stepName, taskName } from './taskName.js'

/**
 * Creates an occurrence of a job, with all its steps and tasks.
 *
 * @param job - the job
 * @param index - number of the occurrence, from 0
 * @returns the occurrence, of which nothing has run
 */
export function createOccurrence (job: JobState, index: number): JobOccurrence {
  const occurrence: JobOccurrence = { job, index, dueAt: job.firstDueAt + index * (job.job.repeat?.interval ?? 0), steps: [], doneSteps: 0 }
  occurrence.steps = job.job.steps.map((definition, index) => createStep(occurrence, index, definition))
  return occurrence
}

function createStep (occurrence: JobOccurrence, index: number, definition: Step): StepState {
  const { id } = occurrence.job.job
  const step: StepState = {
    name: stepName(id, occurrence.index, index), occurrence, index, definition, tasks: [], doneTasks: 0, allowedWorkers: new Map(), rejectedWorkers: new Map(), nextReviewAt: 0, reviewDelay: 0, tickets: new Map(), askedWorkers: new Set(), ticketsExpectedAt: 0, nextAdviceAt: 0, nextPlanAt: 0, plannedReleases: 0, lastFailedRun: 0
  }
  for (let number = 0; number < definition.count; number++) {
    step.tasks.push({
      name: taskName(id, occurrence.index, index, number), step, index: number, phase: 'waiting', run: 0, sentRun: 0, begunRun: 0, incarnation: 0, failures: 0, crashes: [], checkpoint: '', confirmedAt: 0, stopConfirmedAt: 0, stopOrderedAt: 0, preemptions: 0, projectedEndAt: 0, notBefore: 0, avoidedWorkers: new Set()
    })
  }
  return step
}
