import { FakeClock, Network, SeededRandom } from '@rattanstep/core'
import type { Address, Incarnation, Instance, Message, Random, Receiver, Resources } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import { MemoryLog } from '@rattanstep/telemetry'
import { MemoryObjectStore, MemoryTable, MemoryWorkers } from '@rattanstep/stand-ins'
import { Jobs, WorkerOwnership, SimpleWorkerCapacity } from '../../src/index.js'
import type { JobKind, Tuning } from '../../src/index.js'
import { GatedClock, GatedTable, GatedWorkers, Gate } from './Gate.js'

/**
 * A simulated cell for tests: several nodes with their job subsystems, a table and workers on one fake clock. Messages can be
 * delayed, lost or duplicated; nodes can be paused or killed.
 */

export const TUNING: Partial<Tuning> = { leaseDuration: 1000, commandValidity: 200, superviseInterval: 100, driveInterval: 100, holdDuration: 300, holdTimeout: 50, minBackoff: 50, maxBackoff: 400, gangReservationAge: 1000, gangReservationDuration: 2000, maxWritesPerSecond: 1000 }

/** Time after which the workers of a killed or paused node are given to other nodes. */
const OWNERSHIP_LEASE_MS = 300

interface TestNode {
  id: Incarnation
  jobs: Jobs
  gate: Gate
  /** Workers that this node cannot reach. */
  unreachableWorkers: Set<string>
  ownership: TestOwnership
  receiver: Receiver
}

class TestOwnership extends WorkerOwnership {
  onWorkerGained: (worker: Instance) => void = () => {}
  onWorkerLost: (worker: string) => void = () => {}

  constructor (readonly cell: Cell, readonly self: Incarnation) {
    super()
  }

  override owns (worker: string): boolean {
    return this.cell.owners.get(worker) === this.self
  }

  override ownedWorkers (): Instance[] {
    return this.cellWorkers().filter(worker => this.owns(worker.id))
  }

  override cellWorkers (): Instance[] {
    return [...this.cell.instances.values()]
  }

  override isGone (worker: string): boolean {
    return !this.cell.instances.has(worker)
  }

  override onGained (callback: (worker: Instance) => void): void {
    this.onWorkerGained = callback
  }

  override onLost (callback: (worker: string) => void): void {
    this.onWorkerLost = callback
  }
}

class TestNetwork extends Network {
  receiver: Receiver = () => {}

  constructor (readonly cell: Cell, readonly self: Incarnation) {
    super()
  }

  override addPeer (_incarnation: Incarnation, _address: Address): void {}

  override send (to: Incarnation, message: Message): void {
    this.cell.deliver(this.self, to, message)
  }

  override setReceiver (receiver: Receiver): void {
    this.receiver = receiver
  }
}

export function makeClass (name: string, kind: JobKind): ResolvedClass {
  return { name, kind, priority: 1, reserve: 0, most: 1, patience: 1_000_000, bound: 1_000_000, weight: 1, ageing: 0, expected: 100, retries: 0, preempts: 'nothing', askedBy: '', line: 1 }
}

const CLASSES = [makeClass('audio', 'batch'), makeClass('ledger', 'gang'), makeClass('desk', 'service')]

/** The simulated cell. Its seed determines all delays and faults. */
export class Cell {
  readonly clock = new FakeClock()
  readonly random: Random
  readonly log = new MemoryLog()
  readonly objects = new MemoryObjectStore({ clock: this.clock })
  readonly table = new MemoryTable({ clock: this.clock })
  readonly workers = new MemoryWorkers({ clock: this.clock, objects: this.objects })
  readonly instances = new Map<string, Instance>()
  /** Total resources of each worker, including removed workers. */
  readonly workerResources = new Map<string, Resources>()
  readonly owners = new Map<string, Incarnation | null>()
  readonly nodesById = new Map<Incarnation, TestNode>()
  /** Fraction of the messages between nodes that is lost. */
  lossRate = 0
  /** Fraction of the messages between nodes that is delivered twice. */
  duplicateRate = 0
  classes = CLASSES
  private readonly tuning: Partial<Tuning>
  private readonly quarantined: string[] = []
  private nodeCount = 0

  constructor (options: { nodes?: number, workers?: number, seed?: number, resources?: Resources, tuning?: Partial<Tuning> } = {}) {
    this.random = new SeededRandom(options.seed ?? 1)
    this.tuning = { ...TUNING, ...options.tuning }
    for (let number = 1; number <= (options.workers ?? 3); number++) this.addWorker(`w${number}`, options.resources ?? { slots: 4, cores: 8, memory: 1000, accelerators: 0 })
    for (let number = 1; number <= (options.nodes ?? 2); number++) this.addNode()
  }

  get nodes (): TestNode[] {
    return [...this.nodesById.values()]
  }

  addWorker (id: string, resources: Resources): void {
    this.workerResources.set(id, resources)
    this.instances.set(id, { id, role: 'worker', state: 'live', dataCentre: 'a', rack: 'r1', address: { host: '127.0.0.1', port: 1 }, resources, connections: 60 })
  }

  addNode (): TestNode {
    const id = `n${++this.nodeCount}@x`
    const gate = new Gate()
    const clock = new GatedClock(this.clock, gate)
    const ownership = new TestOwnership(this, id)
    const network = new TestNetwork(this, id)
    const capacity = new SimpleWorkerCapacity({ total: worker => this.instances.get(worker)?.resources ?? { slots: 0, cores: 0, memory: 0, accelerators: 0 } })
    const workers = new GatedWorkers(this.workers, gate, this.clock)
    const jobs = new Jobs({
      self: id,
      table: new GatedTable(this.table, gate, this.clock),
      objects: this.objects,
      workers,
      network,
      clock,
      random: new SeededRandom(this.random.integer(2 ** 31)),
      log: this.log,
      ownership,
      capacity,
      holders: () => [...this.nodesById.keys()],
      classes: () => this.classes,
      quarantine: worker => { this.quarantined.push(worker) },
      tuning: this.tuning
    })
    const node: TestNode = { id, jobs, gate, unreachableWorkers: workers.unreachableWorkers, ownership, receiver: (from, message) => { if (message.kind === 'job') jobs.receive(from, message) } }
    this.nodesById.set(id, node)
    this.assignUnownedWorkers()
    jobs.start()
    return node
  }

  /** Assigns unowned workers to the running nodes in turn. */
  assignUnownedWorkers (): void {
    const up = this.nodes.filter(node => !node.gate.isBlocking)
    let next = 0
    for (const worker of this.instances.values()) {
      if ((this.owners.get(worker.id) ?? null) !== null || up.length === 0) continue
      const node = up[next++ % up.length]!
      this.owners.set(worker.id, node.id)
      node.ownership.onWorkerGained(worker)
    }
  }

  /** Takes all workers from a node, as when its lease ends, and assigns them to other nodes. The node is told only if `notifyOwner` is set. */
  revokeWorkers (id: Incarnation, options: { notifyOwner?: boolean } = {}): void {
    for (const [worker, owner] of this.owners) {
      if (owner !== id) continue
      this.owners.set(worker, null)
      if (options.notifyOwner === true) this.nodesById.get(id)?.ownership.onWorkerLost(worker)
    }
    this.assignUnownedWorkers()
  }

  /** Removes a worker from the list of instances. The worker itself may keep running for a while. */
  removeWorker (id: string): void {
    const owner = this.owners.get(id)
    this.instances.delete(id)
    this.owners.delete(id)
    if (owner != null) this.nodesById.get(owner)?.ownership.onWorkerLost(id)
  }

  /** Moves a worker to another node. The previous owner is told only if `notifyOwner` is set. */
  moveWorker (worker: string, to: Incarnation, options: { notifyOwner: boolean }): void {
    const owner = this.owners.get(worker)
    if (owner === to || !this.instances.has(worker)) return
    this.owners.set(worker, to)
    if (options.notifyOwner && owner != null) this.nodesById.get(owner)?.ownership.onWorkerLost(worker)
    const node = this.nodesById.get(to)!
    node.gate.run(() => {
      const instance = this.instances.get(worker)
      if (instance !== undefined && this.owners.get(worker) === to) node.ownership.onWorkerGained(instance)
    })
  }

  /** Kills a node. Once its ownership has lapsed, a new node replaces it and its workers are assigned to other nodes. */
  kill (id: Incarnation): void {
    this.nodesById.get(id)!.gate.kill()
    this.clock.schedule(OWNERSHIP_LEASE_MS, () => {
      if (!this.nodesById.delete(id)) return
      this.addNode()
      this.revokeWorkers(id)
    })
  }

  /** Pauses a node. When its ownership lapses in the meantime, its workers are assigned to other nodes without telling it. */
  pause (id: Incarnation, duration: number): void {
    const { gate } = this.nodesById.get(id)!
    gate.pause()
    if (duration > OWNERSHIP_LEASE_MS) this.clock.schedule(OWNERSHIP_LEASE_MS, () => { this.revokeWorkers(id) })
    this.clock.schedule(duration, () => {
      gate.resume()
      this.assignUnownedWorkers()
    })
  }

  deliver (from: Incarnation, to: Incarnation, message: Message): void {
    if (from !== to && this.random.next() < this.lossRate) return
    const copies = from !== to && this.random.next() < this.duplicateRate ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.clock.schedule(this.random.integer(5), () => {
        const node = this.nodesById.get(to)
        node?.gate.run(() => { node.receiver(from, message) })
      })
    }
  }

  get quarantinedWorkers (): string[] {
    return this.quarantined
  }
}
