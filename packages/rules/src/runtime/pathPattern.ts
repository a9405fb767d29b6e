/**
 * Path patterns: `*` matches one segment, `**` any number of segments, and every other segment only itself.
 */

/** Paths with more segments than this match no pattern. */
export const MAX_PATH_SEGMENTS = 256

/** Limits the time spent comparing patterns. */
export interface ComparisonBudget {
  /** State pairs that may still be explored. Becomes negative once the budget is exceeded. */
  remainingSteps: number
}

/** Default budget for a comparison of two patterns. */
const MAX_STATE_PAIRS = 4096

/** Numbers of segments that replace `**` in the sample paths, which rule out most pairs of patterns cheaply. */
const SAMPLE_WILDCARD_LENGTHS = [0, 1, 3]

/** Represents every segment that occurs literally in neither pattern. */
const UNNAMED_SEGMENT = '\u0000'

/**
 * @param path - path pattern
 * @returns its segments
 */
export function splitPattern (path: string): string[] {
  return path.split('/').filter(segment => segment !== '')
}

/**
 * Splits a request path into segments, drops empty ones and decodes percent-encoding.
 *
 * @param path - path of a request, with or without a query
 * @returns its segments, or `null` if the path has a `.` or `..` segment or more than {@link MAX_PATH_SEGMENTS} segments
 */
export function splitPath (path: string): string[] | null {
  const end = path.search(/[?#]/)
  const segments = splitPattern(end === -1 ? path : path.slice(0, end)).map(decodeSegment)
  const isRejected = segments.length > MAX_PATH_SEGMENTS || segments.some(segment => segment === '.' || segment === '..')
  return isRejected ? null : segments
}

/**
 * Matches a path against a pattern. The time is bounded by the product of the two lengths: on a mismatch only the latest
 * `**` takes one more segment.
 *
 * @param pattern - segments of the pattern
 * @param segments - segments of the path
 * @returns whether the pattern matches the path
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
 * Explores both patterns as automata in parallel and looks for a path that only the narrow one matches.
 *
 * @param wide - segments of one pattern
 * @param narrow - segments of the other pattern
 * @param budget - may be shared by several comparisons; once it is used up, the result is `false`
 * @returns whether the wide pattern matches every path that the narrow pattern matches
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

/** Builds a path that the pattern matches, with `length` segments in place of each `**`. */
function samplePath (pattern: readonly string[], length: number): string[] {
  return pattern.flatMap(segment => {
    if (segment === '**') return Array.from({ length }, () => UNNAMED_SEGMENT)
    return segment === '*' ? [UNNAMED_SEGMENT] : [segment]
  })
}

/** Positions that the two patterns can have reached after the same segments. */
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

/** Adds the positions reached when `**` matches no segment. */
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
