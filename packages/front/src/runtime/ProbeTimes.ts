import type { ResolvedClass } from '@rattanstep/rules'

/** Shortest probe time, in ms. */
const MIN_PROBE_MS = 1000

/** The probe time is at least this many times the expected run time of the class. */
const EXPECTED_FACTOR = 10

/** The probe time is at least this many times the longest recent run of the class. */
const LONGEST_FACTOR = 2

/** Factor by which the longest recent run decays at each shorter run. */
const LONGEST_DECAY = 0.999

/** Properties of an attempt that determine its probe time. */
export interface ProbeOptions {
  /** Class of the request. */
  requestClass: ResolvedClass
  /** Maximum run time in ms. */
  bound: number
  /** Whether another attempt would follow if this one were abandoned. */
  willRetry: boolean
}

/**
 * Computes probe times: how long a connection may stay without a byte before the attempt is abandoned. Abandoning it
 * before its bound helps only if another attempt follows; otherwise a run that is merely slow would end with the outcome
 * unknown. Slow runs lengthen the probe times of their class.
 */
export class ProbeTimes {
  private readonly longest = new Map<string, number>()

  /**
   * @param options - class and bound of the attempt, and whether another attempt would follow
   * @returns ms without a byte from the endpoint after which the attempt is abandoned
   */
  timeFor ({ requestClass, bound, willRetry }: ProbeOptions): number {
    if (!willRetry) return bound
    const longest = this.longest.get(requestClass.name) ?? 0
    const wanted = Math.max(MIN_PROBE_MS, requestClass.expected * EXPECTED_FACTOR, longest * LONGEST_FACTOR)
    return Math.min(bound, wanted)
  }

  /**
   * Records the duration of a run.
   *
   * @param className - class of a request that got its complete answer
   * @param serviceTime - duration of the run in ms
   */
  observe (className: string, serviceTime: number): void {
    const longest = this.longest.get(className) ?? 0
    this.longest.set(className, Math.max(serviceTime, longest * LONGEST_DECAY))
  }
}
