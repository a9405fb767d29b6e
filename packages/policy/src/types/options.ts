import type { Random } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'

/** Options of an `Admission`. */
export interface AdmissionOptions {
  /** The node's incarnation, which is unique in the cell and across restarts. */
  name: string
  classes: ResolvedClass[]
  teams?: ResolvedTeam[]
  /** Monotonic time in ms. */
  now: number
  random: Random
  /** Fraction of the owner's slots that long work may use regardless of the demand of short work, from 0 to 1. */
  minLongFraction?: number
  /** Fraction of reserves that other short work may use, from 0 to 1. */
  lentReserveFraction?: number
  /**
   * Whether this node stops tasks to meet `preemptionDemand`. Tasks of batch classes may then use capacity that short work
   * does not need at present; otherwise they leave free what its last peak needed, as long requests do.
   */
  preemptsTasks?: boolean
  /** Time in ms for which a peak of short work keeps capacity from preemptible work. */
  recentPeakWindow?: number
  /** Work of a class is long when its mean run time exceeds this many times the median of all runs. */
  longRatio?: number
  /** Fraction of each worker's slots that long work may use, from 0 to 1. */
  maxLongFractionPerWorker?: number
  /** Maximum number of asks that wait in one class. */
  maxQueueLength?: number
  /** Time in ms that an ask waits before it is redirected to a peer with free capacity. */
  redirectAfter?: number
}
