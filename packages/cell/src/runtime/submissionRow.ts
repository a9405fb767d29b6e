import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Job } from '../types/job.js'

/** @returns the value of a hand-in's row */
export function encodeSubmission (job: Job): string {
  return JSON.stringify(job)
}

/** @returns the job of a hand-in's row, or why it holds none */
export function decodeSubmission (value: string): Result<Job, string> {
  try {
    const job = JSON.parse(value) as Job | null
    if (job === null || typeof job.id !== 'string' || typeof job.route !== 'string' || !Array.isArray(job.steps)) return Err('fields are missing')
    return Ok(job)
  } catch (error) {
    return Err(String(error))
  }
}
