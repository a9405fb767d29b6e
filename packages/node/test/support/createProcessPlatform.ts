import { InstanceList, ObjectStore, Table, WorkerClient } from '@rattanstep/core'
import type { Instance, Range, Result, Row, TableError, TaskLease, TaskStart, Transaction, WorkerError, WorkerReport } from '@rattanstep/core'
import type { MemoryInstanceList, MemoryObjectStore, MemoryTable, MemoryWorkers, NodeClock } from '@rattanstep/stand-ins'
import type { Platform } from '../../src/index.js'

/** Platform services that all processes of a simulated cell share. */
export interface SharedPlatform {
  table: MemoryTable
  objects: MemoryObjectStore
  instances: MemoryInstanceList
  workers: MemoryWorkers
}

/** Called before each call that a process makes, with a name such as `commit assignment`. */
export type CallListener = (call: string, worker: Instance | null) => void

/**
 * Wraps the shared platform for one process. Answers reach the process only while it is alive and running.
 *
 * @param shared - platform of the cell
 * @param clock - clock of the process
 * @param onCall - called before each call
 * @returns the platform for the process
 */
export function createProcessPlatform (shared: SharedPlatform, clock: NodeClock, onCall: CallListener): Platform {
  return {
    table: new ProcessTable(shared.table, clock, onCall),
    objects: new ProcessObjects(shared.objects, clock),
    instances: new ProcessInstances(shared.instances, clock),
    workers: new ProcessWorkers(shared.workers, clock, onCall)
  }
}

class ProcessTable extends Table {
  constructor (private readonly shared: Table, private readonly clock: NodeClock, private readonly onCall: CallListener) {
    super()
  }

  override async read (keys: string[]): Promise<Result<Row[], TableError>> {
    this.onCall(`read ${tableOf(keys[0])}`, null)
    return await this.clock.whenRunning(this.shared.read(keys))
  }

  override async list (range: Range): Promise<Result<Row[], TableError>> {
    this.onCall(`list ${tableOf(range.prefix)}`, null)
    return await this.clock.whenRunning(this.shared.list(range))
  }

  override async commit (transaction: Transaction): Promise<Result<Row[], TableError>> {
    this.onCall(`commit ${tableOf(transaction.writes[0]?.key)}`, null)
    return await this.clock.whenRunning(this.shared.commit(transaction))
  }
}

class ProcessObjects extends ObjectStore {
  constructor (private readonly shared: ObjectStore, private readonly clock: NodeClock) {
    super()
  }

  override async get (name: string): Promise<Result<Uint8Array | null, TableError>> {
    return await this.clock.whenRunning(this.shared.get(name))
  }

  override async put (name: string, bytes: Uint8Array): Promise<Result<void, TableError>> {
    return await this.clock.whenRunning(this.shared.put(name, bytes))
  }
}

class ProcessInstances extends InstanceList {
  constructor (private readonly shared: InstanceList, private readonly clock: NodeClock) {
    super()
  }

  override async list (): Promise<Result<Instance[], TableError>> {
    return await this.clock.whenRunning(this.shared.list())
  }
}

class ProcessWorkers extends WorkerClient {
  constructor (private readonly shared: MemoryWorkers, private readonly clock: NodeClock, private readonly onCall: CallListener) {
    super()
  }

  override async start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>> {
    this.onCall('start task', worker)
    return await this.clock.whenRunning(this.shared.start(worker, start))
  }

  override async renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>> {
    this.onCall('renew task', worker)
    return await this.clock.whenRunning(this.shared.renew(worker, leases))
  }

  override async stop (worker: Instance, tasks: Array<{ task: string, fence: number }>): Promise<Result<void, WorkerError>> {
    this.onCall('stop task', worker)
    return await this.clock.whenRunning(this.shared.stop(worker, tasks))
  }

  override async checkpoint (worker: Instance, task: { task: string, fence: number }): Promise<Result<string, WorkerError>> {
    return await this.clock.whenRunning(this.shared.checkpoint(worker, task))
  }

  override async throttle (worker: Instance, task: { task: string, fence: number }, speed: number): Promise<Result<void, WorkerError>> {
    return await this.clock.whenRunning(this.shared.throttle(worker, task, speed))
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    this.onCall('report worker', worker)
    return await this.clock.whenRunning(this.shared.report(worker))
  }
}

function tableOf (key: string | undefined): string {
  return (key ?? '').split('/')[0]!
}
