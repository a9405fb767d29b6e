/**
 * Path patterns: `*` stands for one segment, `**` for any number, everything else for itself.
 */

/** Longest path, in segments, that a pattern matches. */
export const MAX_PATH_SEGMENTS = 256

/** Bounds the time that comparisons of patterns take. */
export interface ComparisonBudget {
  /** Pairs of states that may still be compared. */
  remainingSteps: number
}

/** Most pairs of states compared for two patterns alone. */
const MAX_STATE_PAIRS = 4096

/** Numbers of segments tried for `**` before patterns are compared as a whole. */
const SAMPLE_WILDCARD_LENGTHS = [0, 1, 3]

/** Stands for every segment that neither pattern names. */
const UNNAMED_SEGMENT = '\u0000'

/**
 * @param path - path pattern
 * @returns its segments
 */
export function splitPattern (path: string): string[] {
  return path.split('/').filter(segment => segment !== '')
}

/**
 * Splits a request path. Empty segments are dropped, percent-encoding is undone.
 *
 * @param path - path of a request, with or without a query
 * @returns its segments, or `null` when the path has dot segments or too many segments
 */
export function splitPath (path: string): string[] | null {
  const end = path.search(/[?#]/)
  const segments = splitPattern(end === -1 ? path : path.slice(0, end)).map(decodeSegment)
  const isRejected = segments.length > MAX_PATH_SEGMENTS || segments.some(segment => segment === '.' || segment === '..')
  return isRejected ? null : segments
}

/**
 * Matches in time bounded by the product of the lengths.
 *
 * @param pattern - segments of the pattern
 * @param segments - segments of the path
 * @returns whether the pattern stands for the path
 */
export function matchesPattern (pattern: readonly string[], segments: readonly string[]): boolean {
  let pathIndex = 0
  let patternIndex = 0
  let wildcardIndex = -1
  let resumeIndex = 0
  while (pathIndex < segments.length) {
    const expected = pattern[patternIndex]
    if (expected === '**') {
      wildcardIndex = patternIndex++
      resumeIndex = pathIndex
    } else if (expected === '*' || (expected !== undefined && expected === segments[pathIndex])) {
      patternIndex++
      pathIndex++
    } else if (wildcardIndex !== -1) {
      patternIndex = wildcardIndex + 1
      pathIndex = ++resumeIndex
    } else {
      return false
    }
  }
  while (pattern[patternIndex] === '**') patternIndex++
  return patternIndex === pattern.length
}

/**
 * @param wide - segments of one pattern
 * @param narrow - segments of another
 * @param budget - shared by many comparisons; patterns count as unrelated once it is used up
 * @returns whether every path of the narrow pattern is one of the wide pattern
 */
export function coversPattern (wide: readonly string[], narrow: readonly string[], budget: ComparisonBudget = { remainingSteps: MAX_STATE_PAIRS }): boolean {
  if (!SAMPLE_WILDCARD_LENGTHS.every(length => matchesPattern(wide, samplePath(narrow, length)))) return false
  const alphabet = [...new Set([...wide, ...narrow, UNNAMED_SEGMENT])].filter(segment => segment !== '*' && segment !== '**')
  const start: StatePair = { narrow: epsilonClosure(narrow, [0]), wide: epsilonClosure(wide, [0]) }
  const seen = new Set([formatStatePair(start)])
  const pending = [start]
  while (pending.length > 0) {
    const statePair = pending.pop()!
    if (statePair.narrow.includes(narrow.length) && !statePair.wide.includes(wide.length)) return false
    for (const segment of alphabet) {
      const next: StatePair = { narrow: advance(narrow, statePair.narrow, segment), wide: advance(wide, statePair.wide, segment) }
      if (next.narrow.length === 0 || seen.has(formatStatePair(next))) continue
      if (budget.remainingSteps-- <= 0) return false
      seen.add(formatStatePair(next))
      pending.push(next)
    }
  }
  return true
}

/** A path of the pattern, in which each `**` stands for as many segments as told. */
function samplePath (pattern: readonly string[], length: number): string[] {
  return pattern.flatMap(segment => {
    if (segment === '**') return Array.from({ length }, () => UNNAMED_SEGMENT)
    return segment === '*' ? [UNNAMED_SEGMENT] : [segment]
  })
}

/** Positions that both patterns can be at after the same segments. */
interface StatePair {
  narrow: number[]
  wide: number[]
}

function formatStatePair (states: StatePair): string {
  return `${states.narrow.join()}/${states.wide.join()}`
}

function advance (pattern: readonly string[], positions: readonly number[], segment: string): number[] {
  const nextPositions: number[] = []
  for (const position of positions) {
    const expected = pattern[position]
    if (expected === '**') nextPositions.push(position)
    else if (expected === '*' || expected === segment) nextPositions.push(position + 1)
  }
  return epsilonClosure(pattern, nextPositions)
}

/** Adds the positions reached by letting `**` stand for nothing. */
function epsilonClosure (pattern: readonly string[], positions: readonly number[]): number[] {
  const closure = new Set(positions)
  for (const position of closure) {
    if (pattern[position] === '**') closure.add(position + 1)
  }
  return [...closure].sort((a, b) => a - b)
}

function decodeSegment (segment: string): string {
  if (!segment.includes('%')) return segment
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}
