import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Job, Step } from '../types/job.js'

/** @returns the value of the row that stores a submitted job */
export function encodeSubmission (job: Job): string {
  return JSON.stringify(job)
}

/** @returns the job stored in the value of a submission's row, or a message that says why it can't be decoded */
export function decodeSubmission (value: string): Result<Job, string> {
  try {
    const job: unknown = JSON.parse(value)
    const problem = findJobProblem(job)
    return problem === undefined ? Ok(job as Job) : Err(problem)
  } catch (error) {
    return Err(String(error))
  }
}

/** @returns why a decoded value is not a job, or `undefined` if it is one */
export function findJobProblem (value: unknown): string | undefined {
  const job = value as Partial<Job> | null | undefined
  if (typeof job !== 'object' || job === null || typeof job.id !== 'string' || typeof job.route !== 'string' || !Array.isArray(job.steps)) return 'fields are missing'
  return job.steps.every(isStep) ? undefined : 'a step lacks its count, size, estimate or list of earlier steps'
}

function isStep (value: unknown): boolean {
  const step = value as Partial<Step> | null
  if (typeof step !== 'object' || step === null || typeof step.size !== 'object' || step.size === null) return false
  const { count, size, estimate, after } = step
  return [count, size.cpu, size.memory, size.accelerators, estimate].every(number => typeof number === 'number') && Array.isArray(after)
}
