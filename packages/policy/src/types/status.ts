import type { Resources } from '@rattanstep/core'

/** How a class stands at one owner. */
export interface ClassStatus {
  name: string
  /** Priority with ageing. */
  priority: number
  waiting: number
  /** Milliseconds that the oldest ask has waited here. */
  oldest: number
  /** Slots in use. */
  inUse: number
  /** Slots kept for the class. */
  reserve: number
  /** Milliseconds: mean and 99th percentile, learned where possible. */
  meanTime: number
  p99Time: number
  long: boolean
}

/** How a worker stands at its owner. */
export interface WorkerStatus {
  id: string
  total: Resources
  used: Resources
  unknown: Resources
  /** Requests with a permit. */
  permits: number
  /** Tasks with a hold. */
  holds: number
  state: 'usable' | 'draining' | 'removed' | 'quarantined'
  /** Since when it is in quarantine, in ms. */
  quarantinedSince: number | null
  /** Its run times relative to those of the class. */
  slowness: number
}

/** Status of one owner's admission. */
export interface AdmissionStatus {
  classes: ClassStatus[]
  workers: WorkerStatus[]
}
