/**
 * What an instance holds and what work asks for.
 */
export interface Resources {
  slots: number
  /** Processor cores; fractions are allowed. */
  cores: number
  /** Memory in MiB. */
  memory: number
  accelerators: number
}

/** No resources at all. */
export const NO_RESOURCES: Resources = { slots: 0, cores: 0, memory: 0, accelerators: 0 }

/** An IP number and a port. */
export interface Address {
  host: string
  port: number
}

/** How the platform's list describes an instance. */
export type InstanceState = 'live' | 'leaving'

/**
 * One entry of the platform's list of instances. The list lags behind the truth.
 */
export interface Instance {
  id: string
  role: 'worker' | 'entry'
  state: InstanceState
  dataCentre: string
  rack: string
  /** Where a worker takes requests and task commands; for an entry instance its peer port. */
  address: Address
  /** What a worker holds in all. Entry instances hold nothing. */
  resources: Resources
  /** The most connections that a worker takes from all nodes together. */
  connections: number
}
