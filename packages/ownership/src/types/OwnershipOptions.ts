import type { Clock, Holder, Instance, Load, Network, Random, ResourceKey, Table } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Timing } from './Timing.js'

/** What an ownership is made of. */
export interface OwnershipOptions {
  /** This node: incarnation, data centre and peer address. */
  self: Holder
  /** Name of the cell; the row is `assignment/CELL` (default `main`). */
  cell?: string
  network: Network
  table: Table
  clock: Clock
  random: Random
  log: Log
  /** Newest known list of the platform; null when not known. */
  instances: () => Instance[] | null
  /** What should be owned. */
  resources: () => ResourceKey[]
  /** Load carried in heartbeats. */
  load: () => Load | null
  /** Version of the rules in force, carried in heartbeats. */
  rulesVersion: () => number
  timing?: Partial<Timing>
}
