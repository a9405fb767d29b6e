import type { RowName } from '../types/records.js'
import { hashText } from './hashText.js'

/** Parts over which hand-ins are spread; one part takes 150 transactions a second. */
const HAND_IN_PARTS = 8

/** Names of the parts that hold hand-ins. */
export const handInParts: readonly string[] = Array.from({ length: HAND_IN_PARTS }, (_, number) => `j${number}`)

/**
 * @param id - a job's id
 * @returns the part that its hand-in and its cancellation lie in
 */
export function handInPart (id: string): string {
  return handInParts[hashText(id) % HAND_IN_PARTS]!
}

/**
 * @param id - a job's id
 * @returns where its hand-in lies until it has ended
 */
export function handInName (id: string): RowName {
  return { table: 'jobs', part: handInPart(id), key: id }
}

/**
 * @param id - a job's id
 * @returns where its end lies once it has ended, in the part of its hand-in
 */
export function endName (id: string): RowName {
  return { table: 'ended', part: handInPart(id), key: id }
}

/** Ends the key of a cancellation, which otherwise is the job's id. */
export const CANCELLED = '!'
