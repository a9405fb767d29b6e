import type { Clock, InstanceList, ObjectStore, Random, Table, WorkerClient } from '@rattanstep/core'
import type { ResolvedSettings } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'

/** Clients of the platform services and of the workers. */
export interface Platform {
  table: Table
  objects: ObjectStore
  instances: InstanceList
  workers: WorkerClient
}

/** Options of a node. */
export interface NodeOptions {
  settings: ResolvedSettings
  platform: Platform
  /** Default: JSON lines on standard output, at the log level of the settings. */
  log?: Log
  /** Default: the system clock. */
  clock?: Clock
  /** Default: the random numbers of the runtime. */
  random?: Random
  /** Rules text that applies while the table holds none. Default: the built-in rules. */
  rules?: string
}
