import type { Resources } from '@rattanstep/core'

/** Status of a class at one owner. */
export interface ClassStatus {
  name: string
  /** Priority with ageing. */
  priority: number
  /** Number of waiting asks. */
  waiting: number
  /** Time in ms that the oldest ask has waited at this owner. */
  oldest: number
  /** Number of slots in use. */
  inUse: number
  /** Number of slots reserved for the class. */
  reserve: number
  /** Mean run time in ms: learned once enough runs have ended, else declared by the rule. */
  meanTime: number
  /** 99th percentile of the run times in ms: learned once enough runs have ended, else declared by the rule. */
  p99Time: number
  /** Whether its work counts as long. */
  long: boolean
}

/** Status of a worker at its owner. */
export interface WorkerStatus {
  id: string
  total: Resources
  used: Resources
  /** Resources that may be in use by work that the owner does not know of. */
  unknown: Resources
  /** Number of requests with a permit. */
  permits: number
  /** Number of tasks with a hold. */
  holds: number
  state: 'usable' | 'draining' | 'removed' | 'quarantined'
  /** Monotonic time in ms since which it has not been healthy; `null` when it is healthy. */
  quarantinedSince: number | null
  /** Its mean run time relative to that of the classes. */
  slowness: number
}

/** Status of one owner's admission. */
export interface AdmissionStatus {
  classes: ClassStatus[]
  workers: WorkerStatus[]
}
