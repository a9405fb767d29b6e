import type { Assignment, Clock, Incarnation, Load, Network, Random } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'

/** An owner of workers, as this front knows it. */
export interface KnownOwner {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the owner computed its load. */
  age: number
  dataCentre: string
}

/** Options of `PermitClient`. */
export interface PermitClientOptions {
  self: Incarnation
  network: Network
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  /** Returns the owners that can be asked now; this node may be among them. */
  owners: () => KnownOwner[]
  /** Returns the priority of a class. */
  priorityOf: (className: string) => number
  /** Returns the newest known assignment. */
  assignment: () => Assignment
  /** Data centre of this front. */
  dataCentre?: string
}
