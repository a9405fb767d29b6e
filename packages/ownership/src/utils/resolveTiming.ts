import type { Timing } from '../types/Timing.js'

const DEFAULT_TIMING: Timing = {
  heartbeat: 500,
  lease: 3000,
  margin: 0.05,
  pollInterval: 1000,
  claimDelay: 500,
  stagger: 50,
  rebalanceInterval: 5000,
  dropDelay: 3000,
  maxListLag: 30_000,
  tableTimeout: 2000,
  backoff: { initial: 200, max: 5000 },
  maxPeers: 12
}

/**
 * Fills in the defaults.
 *
 * @param timing - periods that differ from the defaults
 * @returns all periods
 */
export function resolveTiming (timing: Partial<Timing> = {}): Timing {
  return { ...DEFAULT_TIMING, ...timing }
}
