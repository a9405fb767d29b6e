import type { Timing } from '../types/Timing.js'

const DEFAULT_TIMING: Timing = {
  heartbeat: 500,
  lease: 3000,
  margin: 0.05,
  poll: 1000,
  claimDelay: 500,
  stagger: 50,
  balance: 5000,
  dropDelay: 3000,
  listLag: 30_000,
  answer: 2000,
  backoff: { first: 200, longest: 5000 },
  peers: 12
}

/**
 * Fills in what was left out.
 *
 * @param timing - periods that differ from the defaults
 * @returns all periods
 */
export function resolveTiming (timing: Partial<Timing> = {}): Timing {
  return { ...DEFAULT_TIMING, ...timing }
}
