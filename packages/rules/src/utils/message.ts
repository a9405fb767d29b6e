import { findNearest } from './findNearest.js'

/**
 * Pieces of the messages of findings.
 */

/** Longest part of a value that a message repeats. */
const MAX_QUOTED_LENGTH = 60

/**
 * @param word - what was given
 * @param known - what is allowed
 * @returns `; did you mean …?`, or empty when nothing is close
 */
export function formatSuggestion (word: string, known: readonly string[]): string {
  const nearestWord = findNearest(word, known)
  return nearestWord === null ? '' : `; did you mean ${nearestWord}?`
}

/**
 * @param given - text from the operators
 * @returns the text in quotes, cut when long
 */
export function quote (given: string): string {
  return JSON.stringify(given.length > MAX_QUOTED_LENGTH ? given.slice(0, MAX_QUOTED_LENGTH) + '…' : given)
}
