import type { ClientLimits } from '../callers/limits.js'

/** Settings of one process. */
export interface CellSettings {
  node: string
  dataCentre: string
  /** Suitability of this instance as decider: the number of cores it may use, reduced if its network link is slow. */
  strength: number
  ip: string
  listen: {
    /** `HOST:PORT` for callers. */
    callers: string
    readiness: string
    /** Port for links between nodes. */
    linkPort: number
    /** `HOST:PORT` at which other nodes reach this node's links: `ip` and `linkPort`, unless ports are mapped. */
    linkAddress: string
    metricsPort: number
  }
  store: { address: string }
  advice: { address: string }
  /** Periods, in ms, and limits set by the platform. */
  bounds: {
    grace: number
    /** Longest lease that workers accept. */
    leaseMax: number
    finishedJobRetention: number
    /** Size of a row as the store counts it, in bytes; by default that of the store's client. */
    rowBytes?: number
  }
  overload?: {
    /** Whether runs are stopped for more urgent work even if the configuration names no organisations. */
    preemption: boolean
    /** Whether nodes refuse jobs that would end too late to be of use even if the configuration names no organisations. */
    admission: boolean
  }
  /** Limits on what clients can make the process hold; by default those of the smallest machine. */
  limits?: ClientLimits
  logLevel: 'debug' | 'info' | 'warn' | 'error'
}
