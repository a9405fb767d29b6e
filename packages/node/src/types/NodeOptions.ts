import type { Clock, InstanceList, ObjectStore, Random, Table, WorkerClient } from '@rattanstep/core'
import type { ResolvedSettings } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'

/** The platform and the workers, as a node reaches them. */
export interface Platform {
  table: Table
  objects: ObjectStore
  instances: InstanceList
  workers: WorkerClient
}

/** What a node is made of. */
export interface NodeOptions {
  settings: ResolvedSettings
  platform: Platform
  /** Default: JSON lines on standard output at the severity of the settings. */
  log?: Log
  /** Default: the machine's clock. */
  clock?: Clock
  /** Default: the runtime's random numbers. */
  random?: Random
  /** Operators' text in force while the table has none. Default: the built-in rules. */
  rules?: string
}
