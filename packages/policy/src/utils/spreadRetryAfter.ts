import type { Random } from '@rattanstep/core'

/** Least and greatest time in s after which a refused caller should come back. */
const MIN_RETRY_AFTER_S = 1
const MAX_RETRY_AFTER_S = 30
/** Share of the time to come back by which it is spread, so that callers don't return together. */
const RETRY_SPREAD = 0.5

/**
 * @param clearedIn - s until a request like the refused one will be accepted, as far as that is known
 * @param random - source of the spread
 * @returns time in whole s after which the caller should come back
 */
export function spreadRetryAfter (clearedIn: number, random: Random): number {
  return Math.ceil(Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, clearedIn)) * (1 + RETRY_SPREAD * random.next()))
}
