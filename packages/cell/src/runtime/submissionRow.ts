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
    const job = JSON.parse(value) as Job | null
    if (job === null || typeof job.id !== 'string' || typeof job.route !== 'string' || !Array.isArray(job.steps)) return Err('fields are missing')
    if (!job.steps.every(isStep)) return Err('a step lacks its count, size, estimate or list of earlier steps')
    return Ok(job)
  } catch (error) {
    return Err(String(error))
  }
}

function isStep (value: unknown): boolean {
  const step = value as Partial<Step> | null
  if (typeof step !== 'object' || step === null || typeof step.size !== 'object' || step.size === null) return false
  const { count, size, estimate, after } = step
  return [count, size.cpu, size.memory, size.accelerators, estimate].every(number => typeof number === 'number') && Array.isArray(after)
}
