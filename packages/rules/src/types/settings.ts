import type { Address } from '@rattanstep/core'

/** Settings of one node after parsing: every default is filled in and every unit is converted. */
export interface ResolvedSettings {
  /** Name of the node; unique in the cell. */
  id: string
  /** Name of the cell that the node belongs to. */
  cell: string
  /** Name of the data centre in which the node runs. */
  dataCentre: string
  /** Address on which the node serves callers' HTTP requests. */
  front: Address
  /** Address on which the node serves gRPC to other nodes. */
  peer: Address
  /** Address on which the node serves operators' HTTP requests, readiness, liveness and metrics. */
  control: Address
  /** Address of the platform service. */
  platform: Address
  /** Peer addresses of nodes to query for the assignment and the rules while the table is unavailable. */
  seeds: Address[]
  /** Secret shared by nodes and operators. */
  secret: string
  /** Lowest severity that is logged. */
  log: 'debug' | 'info' | 'warn' | 'error'
  /** How long a planned stop waits for requests in flight, in milliseconds. */
  drain: number
}
