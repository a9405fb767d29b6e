/** Most edits between a given word and a suggested one. */
const MAX_EDIT_DISTANCE = 3
/** Longer words are not compared. */
const MAX_WORD_LENGTH = 64

/**
 * Finds the known word that a mistyped one most likely stands for.
 *
 * @param word - what was given
 * @param known - words that are allowed
 * @returns the closest known word, or `null` when none is close
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

/** Levenshtein distance with two rows. */
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
