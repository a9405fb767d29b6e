import type { RowName } from '../types/records.js'
import { hashText } from './hashText.js'

/** Number of parts over which submissions are distributed; one part handles 150 transactions a second. */
const SUBMISSION_PART_COUNT = 8

/** Names of the parts that hold submissions. */
export const submissionParts: readonly string[] = Array.from({ length: SUBMISSION_PART_COUNT }, (_, number) => `j${number}`)

/**
 * @param id - a job's id
 * @returns the part that holds the job's submission, cancellation and end
 */
export function submissionPart (id: string): string {
  return submissionParts[hashText(id) % SUBMISSION_PART_COUNT]!
}

/**
 * @param id - a job's id
 * @returns name of the row that stores the job's submission until the job has ended
 */
export function submissionRowName (id: string): RowName {
  return { table: 'jobs', part: submissionPart(id), key: id }
}

/**
 * @param id - a job's id
 * @returns name of the row that stores how the job ended, in the same part as its submission
 */
export function endRowName (id: string): RowName {
  return { table: 'ended', part: submissionPart(id), key: id }
}

/** Table and part of the records of jobs, whose keys are the ids. */
export const RECORDS = { table: 'tasks', part: 'd' } as const

/**
 * @param id - a job's id
 * @returns name of the row that stores the job's record
 */
export function recordRowName (id: string): RowName {
  return { ...RECORDS, key: id }
}

/** Value of the row of a job's end if the job was cancelled before it was submitted, so that a submission on its way is not accepted. */
export const WITHDRAWN = 'withdrawn'

/** Suffix of a cancellation's key, which consists of the job's id and this suffix. */
export const CANCELLATION_SUFFIX = '!'
