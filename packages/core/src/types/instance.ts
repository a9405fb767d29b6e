/**
 * Resources that an instance has or that work needs.
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

/** An IP address and a port. */
export interface Address {
  host: string
  port: number
}

/** State of an instance in the platform's list. */
export type InstanceState = 'live' | 'leaving'

/**
 * One entry of the platform's list of instances. The list lags behind their real state.
 */
export interface Instance {
  id: string
  role: 'worker' | 'entry'
  state: InstanceState
  dataCentre: string
  rack: string
  /** Address at which a worker accepts requests and task commands; of an entry instance, the address of its peer port. */
  address: Address
  /** Total resources of a worker; entry instances have none. */
  resources: Resources
  /** Maximum number of connections that a worker accepts from all nodes together. */
  connections: number
}
