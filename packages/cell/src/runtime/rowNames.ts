import type { RowName } from '../types/records.js'
import { hashText } from './hashText.js'

/** Parts over which hand-ins are spread; one part takes 150 transactions a second. */
const SUBMISSION_PART_COUNT = 8

/** Names of the parts that hold hand-ins. */
export const submissionParts: readonly string[] = Array.from({ length: SUBMISSION_PART_COUNT }, (_, number) => `j${number}`)

/**
 * @param id - a job's id
 * @returns the part that its hand-in and its cancellation lie in
 */
export function submissionPart (id: string): string {
  return submissionParts[hashText(id) % SUBMISSION_PART_COUNT]!
}

/**
 * @param id - a job's id
 * @returns where its hand-in lies until it has ended
 */
export function submissionRowName (id: string): RowName {
  return { table: 'jobs', part: submissionPart(id), key: id }
}

/**
 * @param id - a job's id
 * @returns where its end lies once it has ended, in the part of its hand-in
 */
export function endRowName (id: string): RowName {
  return { table: 'ended', part: submissionPart(id), key: id }
}

/** Ends the key of a cancellation, which otherwise is the job's id. */
export const CANCELLATION_SUFFIX = '!'
