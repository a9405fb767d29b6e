import { test } from 'node:test'
import { expect } from 'earl'
import { Network, SeededRandom, SystemClock } from '@rattanstep/core'
import type { Address, Incarnation, Instance, Message, Receiver } from '@rattanstep/core'
import { HttpObjectStore, HttpTable, HttpWorkers } from '@rattanstep/platform'
import { PlatformServer, WorkerServer } from '@rattanstep/stand-ins'
import { MemoryLog } from '@rattanstep/telemetry'
import { Jobs, WorkerOwnership, SimpleWorkerCapacity } from '../../src/index.js'
import type { JobStatus } from '../../src/index.js'
import { makeClass } from '../runtime/Cell.js'

/**
 * Guards against faults that the in-memory stand-ins of the other tests hide: runs jobs against the HTTP interfaces of the
 * platform and the workers, on the system clock.
 */

const LOCAL = { host: '127.0.0.1', port: 0 }
const SELF = 'n1@x'

class LoopbackNetwork extends Network {
  private receiver: Receiver = () => {}

  override addPeer (_incarnation: Incarnation, _address: Address): void {}

  override send (_to: Incarnation, message: Message): void {
    setImmediate(() => { this.receiver(SELF, message) })
  }

  override setReceiver (receiver: Receiver): void {
    this.receiver = receiver
  }
}

class FullOwnership extends WorkerOwnership {
  constructor (readonly instances: Instance[]) {
    super()
  }

  override owns (): boolean {
    return true
  }

  override ownedWorkers (): Instance[] {
    return this.instances
  }

  override cellWorkers (): Instance[] {
    return this.instances
  }

  override onGained (): void {}
  override onLost (): void {}
}

test('jobs run over HTTP on the system clock while answers of the table are lost', async () => {
  const clock = new SystemClock()
  const platform = new PlatformServer({ clock })
  const address = await platform.listen(LOCAL)
  const [table, objects, workers] = [new HttpTable({ address }), new HttpObjectStore({ address }), new HttpWorkers()]
  const resources = { slots: 4, cores: 4, memory: 1024, accelerators: 0 }
  const servers = ['w1', 'w2'].map(id => new WorkerServer({ clock, objects, instance: { id, role: 'worker', state: 'live', dataCentre: 'a', rack: 'r1', address: LOCAL, resources, connections: 8 } }))
  for (const server of servers) await server.listen(LOCAL)
  const instances = servers.map(server => server.instance)
  const network = new LoopbackNetwork()
  const jobs = new Jobs({
    self: SELF,
    table,
    objects,
    workers,
    network,
    clock,
    random: new SeededRandom(1),
    log: new MemoryLog(),
    ownership: new FullOwnership(instances),
    capacity: new SimpleWorkerCapacity({ total: () => resources }),
    holders: () => [SELF],
    classes: () => [makeClass('audio', 'batch'), makeClass('ledger', 'gang')],
    tuning: { superviseInterval: 50, driveInterval: 50 }
  })
  network.setReceiver((from, message) => { if (message.kind === 'job') jobs.receive(from, message) })
  jobs.start()
  platform.table.faults.forWrite = write => write % 3 === 1 ? { loseAnswers: true } : null
  const specs = [
    { id: 'b', kind: 'batch', class: 'audio', tasks: Array.from({ length: 12 }, () => ({ command: 'run 20' })) },
    { id: 'g', kind: 'gang', class: 'ledger', tasks: Array.from({ length: 5 }, () => ({ command: 'run 60' })) }
  ]
  for (const spec of specs) expect((await jobs.submit(spec)).isOk()).toEqual(true)
  const ended: JobStatus[] = []
  for (const { id } of specs) {
    let status = (await jobs.status(id)).unwrap()!
    while (status.state === 'open') {
      await clock.sleep(20)
      status = (await jobs.status(id)).unwrap()!
    }
    ended.push(status)
  }
  expect(ended.map(status => status.state)).toEqual(['done', 'done'])
  const runs = servers.flatMap(server => server.host.runs)
  expect(runs.length).toEqual(17)
  expect(servers.flatMap(server => server.violations)).toEqual([])
  jobs.stop()
  await Promise.all([...servers, platform, table, objects, workers].map(async part => { await part.close() }))
})
