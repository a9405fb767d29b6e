import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Job } from '../types/job.js'

/** @returns the value of the row that stores a submitted job */
export function encodeSubmission (job: Job): string {
  return JSON.stringify(job)
}

/** @returns the job stored in the value of a submission's row, or a message that says why it can't be decoded */
export function decodeSubmission (value: string): Result<Job, string> {
  try {
    const job = JSON.parse(value) as Job | null
    if (job === null || typeof job.id !== 'string' || typeof job.route !== 'string' || !Array.isArray(job.steps)) return Err('fields are missing')
    return Ok(job)
  } catch (error) {
    return Err(String(error))
  }
}
