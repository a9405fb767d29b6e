import type { Address } from '@rattanstep/core'

/** One node's own settings after the resolve step. */
export interface ResolvedSettings {
  /** Name of the node; unique in the cell. */
  id: string
  cell: string
  dataCentre: string
  /** Callers' HTTP. */
  front: Address
  /** Other nodes' gRPC. */
  peer: Address
  /** Operators' HTTP, readiness, liveness and metrics. */
  control: Address
  /** The platform service. */
  platform: Address
  /** Peer addresses to ask for the assignment and the rules when the table is down. */
  seeds: Address[]
  /** Shared secret of nodes and operators. */
  secret: string
  /** Least severity logged. */
  log: 'debug' | 'info' | 'warn' | 'error'
  /** Milliseconds that a planned stop waits for requests in flight. */
  drain: number
}
