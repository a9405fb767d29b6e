import { nearest } from './nearest.js'

/**
 * Pieces of the messages of findings.
 */

/** Longest part of a value that a message repeats. */
const MAX_QUOTED = 60

/**
 * @param word - what was given
 * @param known - what is allowed
 * @returns `; did you mean …?`, or empty when nothing is close
 */
export function suggestion (word: string, known: readonly string[]): string {
  const close = nearest(word, known)
  return close === null ? '' : `; did you mean ${close}?`
}

/**
 * @param given - text from the operators
 * @returns the text in quotes, cut when long
 */
export function quote (given: string): string {
  return JSON.stringify(given.length > MAX_QUOTED ? given.slice(0, MAX_QUOTED) + '…' : given)
}
