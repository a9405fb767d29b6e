/** Settings of one process. */
export interface CellSettings {
  node: string
  dataCentre: string
  /** How well this instance can decide: cores, less on a narrow link. */
  strength: number
  ip: string
  listen: {
    /** `HOST:PORT` for callers. */
    callers: string
    readiness: string
    /** Ports free for links between nodes. */
    linkPort: number
    metricsPort: number
  }
  store: { address: string }
  advice: { address: string }
  /** Periods and bounds that the platform sets, in ms. */
  bounds: {
    grace: number
    /** Longest lease that workers grant. */
    leaseMax: number
    finishedJobRetention: number
  }
  logLevel: 'debug' | 'info' | 'warn' | 'error'
}
