import type { ResolvedClass } from '@rattanstep/rules'

/** Least time without a byte after which a connection counts as silent, in ms. */
const MIN_PROBE_MS = 1000

/** How many times its expected run time a request is waited for before its connection counts as silent. */
const EXPECTED_FACTOR = 10

/** How many times the longest recent run is waited for. */
const LONGEST_FACTOR = 2

/** Part of the longest recent run that is kept at each shorter run. */
const LONGEST_DECAY = 0.999

/** What a probe time is worked out from. */
export interface ProbeOptions {
  /** Class of the request. */
  requestClass: ResolvedClass
  /** Milliseconds that the run may take. */
  bound: number
  /** Whether another attempt would follow if this one were given up. */
  willRetry: boolean
}

/**
 * Decides how long a silent connection is waited for. Giving up before the bound pays only where another attempt follows:
 * a run that is merely slow would else end as unknown. Runs that were slow make the waits of their class longer.
 */
export class ProbeTimes {
  private readonly longest = new Map<string, number>()

  /**
   * @param options - class, bound and whether another attempt would follow
   * @returns ms without a byte from the endpoint after which the connection is abandoned
   */
  timeFor ({ requestClass, bound, willRetry }: ProbeOptions): number {
    if (!willRetry) return bound
    const longest = this.longest.get(requestClass.name) ?? 0
    const wanted = Math.max(MIN_PROBE_MS, requestClass.expected * EXPECTED_FACTOR, longest * LONGEST_FACTOR)
    return Math.min(bound, wanted)
  }

  /**
   * @param className - class of a request that got its whole answer
   * @param serviceTime - ms that its run took
   */
  observe (className: string, serviceTime: number): void {
    const longest = this.longest.get(className) ?? 0
    this.longest.set(className, Math.max(serviceTime, longest * LONGEST_DECAY))
  }
}
