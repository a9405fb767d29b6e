import type { Clock, Incarnation, Network, ObjectStore, Random, Table, WorkerClient } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import type { Owned } from '../runtime/Owned.js'
import type { Room } from '../runtime/Room.js'
import type { Tuning } from './tuning.js'

/** What every part of the job subsystem works with. */
export interface Context {
  self: Incarnation
  table: Table
  objects: ObjectStore
  workers: WorkerClient
  network: Network
  clock: Clock
  random: Random
  log: Log
  owned: Owned
  room: Room
  /** Nodes that may drive jobs and own workers. */
  holders: () => Incarnation[]
  /** Classes of the rules in force. */
  classes: () => ResolvedClass[]
  /** Called once for each worker that fails far more than its peers. */
  quarantine: (worker: string, reason: string) => void
  tuning: Tuning
}
