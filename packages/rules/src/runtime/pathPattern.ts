/**
 * Path patterns: `*` stands for one segment, `**` for any number, everything else for itself.
 */

/** Longest path, in segments, that a pattern matches. */
export const MAX_SEGMENTS = 256

/** Bounds the time that comparisons of patterns take. */
export interface Budget {
  /** Pairs of states that may still be compared. */
  left: number
}

/** Most pairs of states compared for two patterns alone. */
const MAX_PAIRS = 4096

/** Numbers of segments tried for `**` before patterns are compared as a whole. */
const SAMPLE_LENGTHS = [0, 1, 3]

/** Stands for every segment that neither pattern names. */
const OTHER = '\u0000'

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
  const segments = splitPattern(end === -1 ? path : path.slice(0, end)).map(decode)
  const refused = segments.length > MAX_SEGMENTS || segments.some(segment => segment === '.' || segment === '..')
  return refused ? null : segments
}

/**
 * Matches in time bounded by the product of the lengths.
 *
 * @param pattern - segments of the pattern
 * @param segments - segments of the path
 * @returns whether the pattern stands for the path
 */
export function matchesPattern (pattern: readonly string[], segments: readonly string[]): boolean {
  let at = 0
  let next = 0
  let wildcard = -1
  let resume = 0
  while (at < segments.length) {
    const expected = pattern[next]
    if (expected === '**') {
      wildcard = next++
      resume = at
    } else if (expected === '*' || (expected !== undefined && expected === segments[at])) {
      next++
      at++
    } else if (wildcard !== -1) {
      next = wildcard + 1
      at = ++resume
    } else {
      return false
    }
  }
  while (pattern[next] === '**') next++
  return next === pattern.length
}

/**
 * @param wide - segments of one pattern
 * @param narrow - segments of another
 * @param budget - shared by many comparisons; patterns count as unrelated once it is used up
 * @returns whether every path of the narrow pattern is one of the wide pattern
 */
export function coversPattern (wide: readonly string[], narrow: readonly string[], budget: Budget = { left: MAX_PAIRS }): boolean {
  if (!SAMPLE_LENGTHS.every(length => matchesPattern(wide, samplePath(narrow, length)))) return false
  const letters = [...new Set([...wide, ...narrow, OTHER])].filter(segment => segment !== '*' && segment !== '**')
  const start: States = { narrow: close(narrow, [0]), wide: close(wide, [0]) }
  const seen = new Set([nameOf(start)])
  const open = [start]
  while (open.length > 0) {
    const states = open.pop()!
    if (states.narrow.includes(narrow.length) && !states.wide.includes(wide.length)) return false
    for (const letter of letters) {
      const next: States = { narrow: step(narrow, states.narrow, letter), wide: step(wide, states.wide, letter) }
      if (next.narrow.length === 0 || seen.has(nameOf(next))) continue
      if (budget.left-- <= 0) return false
      seen.add(nameOf(next))
      open.push(next)
    }
  }
  return true
}

/** A path of the pattern, in which each `**` stands for as many segments as told. */
function samplePath (pattern: readonly string[], length: number): string[] {
  return pattern.flatMap(segment => {
    if (segment === '**') return Array.from({ length }, () => OTHER)
    return segment === '*' ? [OTHER] : [segment]
  })
}

/** Positions that both patterns can be at after the same segments. */
interface States {
  narrow: number[]
  wide: number[]
}

function nameOf (states: States): string {
  return `${states.narrow.join()}/${states.wide.join()}`
}

function step (pattern: readonly string[], positions: readonly number[], letter: string): number[] {
  const reached: number[] = []
  for (const position of positions) {
    const expected = pattern[position]
    if (expected === '**') reached.push(position)
    else if (expected === '*' || expected === letter) reached.push(position + 1)
  }
  return close(pattern, reached)
}

/** Adds the positions reached by letting `**` stand for nothing. */
function close (pattern: readonly string[], positions: readonly number[]): number[] {
  const all = new Set(positions)
  for (const position of all) {
    if (pattern[position] === '**') all.add(position + 1)
  }
  return [...all].sort((a, b) => a - b)
}

function decode (segment: string): string {
  if (!segment.includes('%')) return segment
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}
