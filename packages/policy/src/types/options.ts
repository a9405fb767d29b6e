import type { Random } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'

/** What an `Admission` is made of. */
export interface AdmissionOptions {
  /** Unique in the cell and over restarts: the node's incarnation. */
  name: string
  classes: ResolvedClass[]
  teams?: ResolvedTeam[]
  now: number
  random: Random
  /** Part of the owner's slots that long work may use whatever short work needs, from 0 to 1. */
  minLongFraction?: number
  /** Part of reserves that other short work may use, from 0 to 1. */
  lentReserveFraction?: number
  /**
   * Whether this node stops tasks as `pressure` asks. Tasks of batch classes may then fill what short work does not want
   * just now; otherwise they leave room for its last peak, as long requests do.
   */
  preemptsTasks?: boolean
  /** Milliseconds for which a peak of short work keeps preemptible work out. */
  recentPeakWindow?: number
  /** Work of a class is long when its mean exceeds the median of all runs this many times. */
  longRatio?: number
  /** Part of each worker's slots that long work may use, from 0 to 1. */
  maxLongFractionPerWorker?: number
  /** Most asks that wait in one class. */
  maxQueueLength?: number
  /** Milliseconds that an ask waits before it is sent on to a peer with room. */
  redirectAfter?: number
}
