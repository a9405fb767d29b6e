import { findNearest } from './findNearest.js'

/**
 * Helpers for the messages of findings.
 */

/** Longest part of a value that a message quotes, in characters. */
const MAX_QUOTED_LENGTH = 60

/**
 * @param word - the word in the text
 * @param known - the allowed words
 * @returns `; did you mean …?`, or an empty string if no allowed word is similar
 */
export function formatSuggestion (word: string, known: readonly string[]): string {
  const nearestWord = findNearest(word, known)
  return nearestWord === null ? '' : `; did you mean ${nearestWord}?`
}

/**
 * @param given - text from a file
 * @returns the text in quotes, truncated to {@link MAX_QUOTED_LENGTH} characters
 */
export function quote (given: string): string {
  return JSON.stringify(given.length > MAX_QUOTED_LENGTH ? given.slice(0, MAX_QUOTED_LENGTH) + '…' : given)
}
