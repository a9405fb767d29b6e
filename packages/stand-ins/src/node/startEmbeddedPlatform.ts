import { SystemClock } from '@rattanstep/core'
import type { Clock, Instance, ObjectStore, Resources, Table, WorkerClient } from '@rattanstep/core'
import { HttpWorkers } from '@rattanstep/platform'
import { MemoryInstanceList } from '../runtime/MemoryInstanceList.js'
import { MemoryObjectStore } from '../runtime/MemoryObjectStore.js'
import { MemoryTable } from '../runtime/MemoryTable.js'
import { WorkerServer } from './WorkerServer.js'

/** A platform with workers inside this process. */
export interface EmbeddedPlatform {
  table: Table
  objects: ObjectStore
  instances: MemoryInstanceList
  workers: WorkerClient
  /** Servers of the workers, for inspection by tests. */
  servers: WorkerServer[]
  /** Stops the workers and closes all connections. */
  close: () => Promise<void>
}

const DEFAULT_WORKERS = 3
const DEFAULT_RESOURCES: Resources = { slots: 8, cores: 16, memory: 65536, accelerators: 0 }
const DEFAULT_CONNECTIONS = 60
const WORKERS_PER_RACK = 6

/**
 * Starts workers on free ports of 127.0.0.1, with a table, an object store and an instance list in memory.
 *
 * @param options - `workers`: number of workers (default 3); `clock`: the system clock by default; `resources`: resources of
 * each worker; `dataCentre`: data centre of all workers (default `local`)
 * @returns clients of the platform's services
 */
export async function startEmbeddedPlatform (options: { workers?: number, clock?: Clock, resources?: Resources, dataCentre?: string } = {}): Promise<EmbeddedPlatform> {
  const clock = options.clock ?? new SystemClock()
  const objects = new MemoryObjectStore({ clock })
  const instances = new MemoryInstanceList({ clock })
  const workers = new HttpWorkers()
  const servers: WorkerServer[] = []
  for (let number = 1; number <= (options.workers ?? DEFAULT_WORKERS); number++) {
    const instance = describeWorker(number, options.resources ?? DEFAULT_RESOURCES, options.dataCentre ?? 'local')
    const server = new WorkerServer({ instance, clock, objects })
    await server.listen({ host: '127.0.0.1', port: 0 })
    instances.add(server.instance)
    servers.push(server)
  }
  const close = async (): Promise<void> => {
    await Promise.all(servers.map(async server => { await server.close() }))
    await workers.close()
  }
  return { table: new MemoryTable({ clock }), objects, instances, workers, servers, close }
}

function describeWorker (number: number, resources: Resources, dataCentre: string): Instance {
  return {
    id: `w${number}`,
    role: 'worker',
    state: 'live',
    dataCentre,
    rack: `r${Math.ceil(number / WORKERS_PER_RACK)}`,
    address: { host: '127.0.0.1', port: 0 },
    resources,
    connections: DEFAULT_CONNECTIONS
  }
}
