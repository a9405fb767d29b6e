import type { ResolvedClass } from '@rattanstep/rules'

/** Least time without a byte after which a connection counts as silent, in ms. */
const LEAST_PROBE_MS = 1000

/** How many times its expected run time a request that can be repeated is waited for before its connection counts as silent. */
const PROBE_FACTOR = 10

/**
 * Giving up early on a request that may run once only gains nothing: its outcome is unknown either way.
 *
 * @param work - class of the request
 * @param bound - ms that the run may take
 * @param repeatable - whether the request can be sent again
 * @returns ms without a byte from the endpoint after which the connection is abandoned
 */
export function probeTime (work: ResolvedClass, bound: number, repeatable: boolean): number {
  if (!repeatable) return bound
  return Math.min(bound, Math.max(LEAST_PROBE_MS, work.expected * PROBE_FACTOR))
}
