import type { Clock, Incarnation, Network, ObjectStore, Random, Table, WorkerClient } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import type { WorkerOwnership } from '../runtime/WorkerOwnership.js'
import type { WorkerCapacity } from '../runtime/WorkerCapacity.js'
import type { Tuning } from './tuning.js'

/** Dependencies shared by all classes of the job subsystem. */
export interface Context {
  self: Incarnation
  table: Table
  objects: ObjectStore
  workers: WorkerClient
  network: Network
  clock: Clock
  random: Random
  log: Log
  ownership: WorkerOwnership
  capacity: WorkerCapacity
  /** Incarnations of the nodes that may drive jobs and own workers. */
  holders: () => Incarnation[]
  /** Job classes of the rules in force. */
  classes: () => ResolvedClass[]
  /** Called when a worker is put into quarantine because its runs fail far more often than those of other workers. */
  quarantine: (worker: string, reason: string) => void
  tuning: Tuning
}
