/** Largest edit distance between a mistyped word and a suggestion. */
const MAX_EDIT_DISTANCE = 3
/** Longer words get no suggestion, which limits the time that the comparison takes. */
const MAX_WORD_LENGTH = 64

/**
 * Finds the allowed word that is most similar to a mistyped one. Case is ignored.
 *
 * @param word - the mistyped word
 * @param known - the allowed words
 * @returns the allowed word with the smallest edit distance, or `null` if none is within {@link MAX_EDIT_DISTANCE}
 */
export function findNearest (word: string, known: readonly string[]): string | null {
  if (word.length > MAX_WORD_LENGTH) return null
  let best: string | null = null
  let bestDistance = MAX_EDIT_DISTANCE + 1
  for (const candidate of known) {
    const distance = editDistance(word.toLowerCase(), candidate.toLowerCase())
    if (distance >= bestDistance || distance >= candidate.length) continue
    best = candidate
    bestDistance = distance
  }
  return best
}

/** Levenshtein distance, computed with two rows of the matrix. */
function editDistance (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let i = 1; i <= a.length; i++) {
    const current = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitution = previous[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      current.push(Math.min(substitution, previous[j]! + 1, current[j - 1]! + 1))
    }
    previous = current
  }
  return previous[b.length]!
}
