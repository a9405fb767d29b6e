import type { TokenBucket } from '../types/sharing.js'

/** Duration in ms whose worth of tokens a bucket holds. */
const BURST_MS = 1000
/** Minimum size of a bucket: at a rate of one job a second, jobs that arrive at random often come in groups of two or three. */
const MIN_BURST = 4

/**
 * Meters a submission against its organisation's rate. A submission beyond the rate takes no token.
 *
 * @param bucket - the bucket after the last submission, or `undefined` before the first
 * @param submission - `rate`: submissions a second; `at`: time of the submission in ms. Times before that of the last submission count as that time.
 * @returns the bucket after the submission, and whether the submission is within the rate
 */
export function takeToken (bucket: TokenBucket | undefined, { rate, at }: { rate: number, at: number }): { bucket: TokenBucket, isWithin: boolean } {
  const size = Math.max(MIN_BURST, rate * BURST_MS / 1000)
  const time = Math.max(at, bucket?.at ?? at)
  const tokens = bucket === undefined ? size : Math.min(size, bucket.tokens + rate * (time - bucket.at) / 1000)
  const isWithin = tokens >= 1
  return { bucket: { tokens: isWithin ? tokens - 1 : tokens, at: time }, isWithin }
}
