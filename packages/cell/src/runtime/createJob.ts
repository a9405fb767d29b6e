import type { JobSubmission } from '../types/callers.js'
import type { Organisation, Route } from '../types/configuration.js'
import type { Job } from '../types/job.js'

/**
 * Creates a job, which contains the terms of its route, so that it is completed even if the route is removed.
 *
 * @param id - id of the job
 * @param route - route to which the job is submitted
 * @param submission - what the caller submits
 * @param acceptedAt - time of the submission on the store's clock, in ms
 * @param organisation - organisation of the caller, if the configuration names any
 */
export function createJob (id: string, { name, service, priority, maxAttempts, stretch, latencyObjective, advice }: Route, submission: JobSubmission, acceptedAt: number, organisation?: Organisation): Job {
  return { ...submission, id, route: name, acceptedAt, terms: { service, priority, maxAttempts, stretch, latencyObjective, ...(advice === undefined ? {} : { advice }) }, ...(organisation === undefined ? {} : { organisation: organisation.name, organisationTerms: { weight: organisation.weight, cap: organisation.cap } }) }
}
