/**
 * Times on which the at-most-once guarantee for idempotency keys depends. See docs/design/requests.md for the reasoning.
 */

/** Time after its first sending in which a request with a key may be repeated, in ms. */
export const KEY_WINDOW_MS = 600_000

/** Maximum difference between the wall clocks of two nodes, or of a node and a caller with a correct clock, in ms. */
export const CLOCK_TOLERANCE_MS = 5000

/** The window and the clock tolerance; tests shorten them. */
export interface KeyTimes {
  /** Time after its first sending in which a request may be repeated, in ms. */
  window: number
  /** Maximum difference between two wall clocks, in ms. */
  tolerance: number
}

/** Times used in production. */
export const KEY_TIMES: KeyTimes = { window: KEY_WINDOW_MS, tolerance: CLOCK_TOLERANCE_MS }

/**
 * @param times - window and clock tolerance
 * @returns ms for which a home stores a key after its claim
 */
export function keyRetention ({ window, tolerance }: KeyTimes): number {
  return window + 2 * tolerance
}

/** The age of a key that the home does not have, and what the home can know. */
export interface KeyAge {
  /** Wall-clock ms at which the caller first sent the request; 0 when unknown. */
  firstSent: number
  /** Current wall-clock ms of the home. */
  wall: number
  /** Wall-clock ms before which keys may be unknown to the home; 0 when it knows all keys. */
  epoch: number
}

/**
 * Tells whether a key that the home does not have was certainly never claimed before.
 *
 * @param age - age of the key and epoch of the home
 * @param times - window and clock tolerance
 * @returns `true` when no earlier claim of the key can have been lost
 */
export function isCertainlyNew ({ firstSent, wall, epoch }: KeyAge, { window, tolerance }: KeyTimes): boolean {
  if (firstSent === 0) return epoch === 0
  if (firstSent > wall + tolerance) return false
  if (firstSent < wall - window) return false
  return epoch === 0 || firstSent > epoch + 2 * tolerance
}

/**
 * Tells whether the time of first sending lies ahead of every node's clock. No home can have let such a key run yet.
 *
 * @param firstSent - wall-clock ms at which the caller claims to have first sent the request
 * @param wall - current wall-clock ms of this node
 * @param times - window and clock tolerance
 * @returns `true` when the caller's clock must be wrong
 */
export function isInFuture (firstSent: number, wall: number, { tolerance }: KeyTimes): boolean {
  return firstSent > wall + 2 * tolerance
}
