import type { Assignment, Clock, Incarnation, Load, Network, Random } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'

/** An owner as a front knows it. */
export interface KnownOwner {
  incarnation: Incarnation
  load: Load
  /** Milliseconds since the load was made. */
  age: number
  dataCentre: string
}

/** What `OwnerPermits` works with. */
export interface PermitClientOptions {
  self: Incarnation
  network: Network
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  /** Owners that can be asked now; this node may be among them. */
  owners: () => KnownOwner[]
  /** @returns priority of a class */
  priorityOf: (className: string) => number
  /** Newest known assignment. */
  assignment: () => Assignment
  /** Data centre of this front. */
  dataCentre?: string
}
