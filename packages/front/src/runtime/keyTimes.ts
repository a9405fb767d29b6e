/**
 * The times that at-most-once by key rests on. The argument stands in docs/design/requests.md.
 */

/** How long after its first sending a request with a key may be repeated, in ms. */
export const KEY_WINDOW_MS = 600_000

/** Most that the wall clocks of two nodes, or of a node and a caller in good order, may differ, in ms. */
export const CLOCK_TOLERANCE_MS = 5000

/** Times that a test may shorten. */
export interface KeyTimes {
  /** How long after its first sending a request may be repeated, in ms. */
  window: number
  /** Most that two wall clocks may differ, in ms. */
  tolerance: number
}

/** The times in use. */
export const KEY_TIMES: KeyTimes = { window: KEY_WINDOW_MS, tolerance: CLOCK_TOLERANCE_MS }

/**
 * @param times - the times in use
 * @returns ms for which a home remembers a key after its claim
 */
export function keyRetention ({ window, tolerance }: KeyTimes): number {
  return window + 2 * tolerance
}

/** What a new key has to be judged by. */
export interface KeyAge {
  /** Wall-clock ms at which the caller first sent the request; 0 when not known. */
  firstSent: number
  /** The home's wall-clock ms. */
  wall: number
  /** Wall-clock ms before which the home cannot know the keys; 0 when it knows them all. */
  epoch: number
}

/**
 * Tells whether a key that the home does not remember was certainly never claimed before.
 *
 * @param age - what is known of the key and the home
 * @param times - the times in use
 * @returns `true` when no earlier claim can have been forgotten
 */
export function isCertainlyNew ({ firstSent, wall, epoch }: KeyAge, { window, tolerance }: KeyTimes): boolean {
  if (firstSent === 0) return epoch === 0
  if (firstSent > wall + tolerance) return false
  if (firstSent < wall - window) return false
  return epoch === 0 || firstSent > epoch + 2 * tolerance
}

/**
 * Tells whether no home can have let a key run yet, because its time of first sending lies ahead of every clock.
 *
 * @param firstSent - wall-clock ms
 * @param wall - this node's wall-clock ms
 * @param times - the times in use
 * @returns whether the caller's clock must be wrong
 */
export function isInFuture (firstSent: number, wall: number, { tolerance }: KeyTimes): boolean {
  return firstSent > wall + 2 * tolerance
}
