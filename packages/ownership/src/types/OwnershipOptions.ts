import type { Clock, Holder, Instance, Load, Network, Random, ResourceKey, Table } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Timing } from './Timing.js'

/** Options of `Ownership`. */
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
  /** Returns the platform's newest known list of instances; null when unknown. */
  instances: () => Instance[] | null
  /** Returns the resources that should have an owner. */
  resources: () => ResourceKey[]
  /** Returns the load that heartbeats carry. */
  load: () => Load | null
  /** Returns the version of the rules in force, which heartbeats carry. */
  rulesVersion: () => number
  /** Periods that differ from the defaults. */
  timing?: Partial<Timing>
}
