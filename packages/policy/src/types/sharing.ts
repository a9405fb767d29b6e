/** Resources of tasks, workers or organisations. */
export interface ResourceVector {
  /** Thousandths of a core. */
  cpu: number
  /** MB. */
  memory: number
  accelerators: number
}

/** Tokens that are left for an organisation's submissions. */
export interface TokenBucket {
  tokens: number
  /** Time in ms at which that number was left. */
  at: number
}
