import type { Job } from '../types/job.js'
import { DEFAULT_STORE_LIMITS } from '../types/records.js'
import { encodeSubmission } from './submissionRow.js'

/** Upper bounds of the characters of an encoded job and step, without the texts and dependencies. */
const MAX_JOB_CHARS = 2000
const MAX_STEP_CHARS = 400
/** Upper bounds of the bytes of an encoded character and number of an earlier step. */
const MAX_BYTES_PER_CHAR = 6
const MAX_BYTES_PER_DEPENDENCY = 8

/**
 * @param job - a job
 * @param rowBytes - bytes of a value that a row of the store can hold
 * @returns why the job can't be stored, or `undefined` if it can
 */
export function findRowProblem (job: Job, rowBytes = DEFAULT_STORE_LIMITS.rowBytes): string | undefined {
  // Encoding the job only to measure it would double the cost of an ordinary submission.
  if (estimateBytes(job) <= rowBytes) return undefined
  const bytes = Buffer.byteLength(encodeSubmission(job))
  return bytes > rowBytes ? `the job takes ${bytes} bytes in the store, more than ${rowBytes}` : undefined
}

function estimateBytes ({ spec, steps }: Job): number {
  let bytes = MAX_JOB_CHARS + MAX_BYTES_PER_CHAR * spec.length
  for (const { after, label = '', dataRack = '' } of steps) bytes += MAX_STEP_CHARS + MAX_BYTES_PER_DEPENDENCY * after.length + MAX_BYTES_PER_CHAR * (label.length + dataRack.length)
  return bytes
}
