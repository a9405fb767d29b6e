import { FakeClock, Network, SeededRandom } from '@rattanstep/core'
import type { Address, Incarnation, Instance, Message, Random, Receiver, Resources } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import { MemoryLog } from '@rattanstep/telemetry'
import { MemoryObjectStore, MemoryTable, MemoryWorkers } from '@rattanstep/stand-ins'
import { Jobs, Owned, SimpleRoom } from '../../src/index.js'
import type { JobKind, Tuning } from '../../src/index.js'
import { GatedClock, GatedTable, GatedWorkers, Gate } from './Gate.js'

/**
 * Several nodes with their jobs on one fake clock, for tests. Messages may be late, lost or doubled; nodes may pause or die.
 */

export const TUNING: Partial<Tuning> = { lease: 1000, commandWindow: 200, keepPeriod: 100, drivePeriod: 100, hold: 300, askTimeout: 50, backoff: 50, backoffMax: 400, gangPatience: 1000, gangInsistence: 2000, writesPerSecond: 1000 }

/** Milliseconds after which the workers of a silent node go to another. */
const OWNERSHIP_LEASE_MS = 300

interface Member {
  id: Incarnation
  jobs: Jobs
  gate: Gate
  /** Workers that the node can not reach. */
  cut: Set<string>
  owned: CellOwned
  receiver: Receiver
}

class CellOwned extends Owned {
  gained: (worker: Instance) => void = () => {}
  lost: (worker: string) => void = () => {}

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
    this.gained = callback
  }

  override onLost (callback: (worker: string) => void): void {
    this.lost = callback
  }
}

class CellNetwork extends Network {
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

export class Cell {
  readonly clock = new FakeClock()
  readonly random: Random
  readonly log = new MemoryLog()
  readonly objects = new MemoryObjectStore({ clock: this.clock })
  readonly table = new MemoryTable({ clock: this.clock })
  readonly workers = new MemoryWorkers({ clock: this.clock, objects: this.objects })
  readonly instances = new Map<string, Instance>()
  /** What every worker that ever was there holds. */
  readonly sizes = new Map<string, Resources>()
  readonly owners = new Map<string, Incarnation | null>()
  readonly members = new Map<Incarnation, Member>()
  /** Part of the messages between nodes that is lost. */
  loss = 0
  /** Part of the messages between nodes that comes twice. */
  doubles = 0
  classes = CLASSES
  private readonly tuning: Partial<Tuning>
  private readonly quarantined: string[] = []
  private lives = 0

  constructor (options: { nodes?: number, workers?: number, seed?: number, resources?: Resources, tuning?: Partial<Tuning> } = {}) {
    this.random = new SeededRandom(options.seed ?? 1)
    this.tuning = { ...TUNING, ...options.tuning }
    for (let number = 1; number <= (options.workers ?? 3); number++) this.addWorker(`w${number}`, options.resources ?? { slots: 4, cores: 8, memory: 1000, accelerators: 0 })
    for (let number = 1; number <= (options.nodes ?? 2); number++) this.addNode()
  }

  get nodes (): Member[] {
    return [...this.members.values()]
  }

  addWorker (id: string, resources: Resources): void {
    this.sizes.set(id, resources)
    this.instances.set(id, { id, role: 'worker', state: 'live', dataCentre: 'a', rack: 'r1', address: { host: '127.0.0.1', port: 1 }, resources, connections: 60 })
  }

  addNode (): Member {
    const id = `n${++this.lives}@x`
    const gate = new Gate()
    const clock = new GatedClock(this.clock, gate)
    const owned = new CellOwned(this, id)
    const network = new CellNetwork(this, id)
    const room = new SimpleRoom({ total: worker => this.instances.get(worker)?.resources ?? { slots: 0, cores: 0, memory: 0, accelerators: 0 } })
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
      owned,
      room,
      holders: () => [...this.members.keys()],
      classes: () => this.classes,
      quarantine: worker => { this.quarantined.push(worker) },
      tuning: this.tuning
    })
    const member: Member = { id, jobs, gate, cut: workers.cut, owned, receiver: (from, message) => { if (message.kind === 'job') jobs.receive(from, message) } }
    this.members.set(id, member)
    this.spread()
    jobs.start()
    return member
  }

  /** Gives unowned workers to nodes that are up, in turn. */
  spread (): void {
    const up = this.nodes.filter(node => !node.gate.isShut)
    let next = 0
    for (const worker of this.instances.values()) {
      if ((this.owners.get(worker.id) ?? null) !== null || up.length === 0) continue
      const member = up[next++ % up.length]!
      this.owners.set(worker.id, member.id)
      member.owned.gained(worker)
    }
  }

  /** Takes all workers from a node at once, as its lease has ended, and gives them to others. */
  depose (id: Incarnation, options: { tell?: boolean } = {}): void {
    for (const [worker, owner] of this.owners) {
      if (owner !== id) continue
      this.owners.set(worker, null)
      if (options.tell === true) this.members.get(id)?.owned.lost(worker)
    }
    this.spread()
  }

  /** Takes a worker off the list; it may still run for a while, unseen. */
  removeWorker (id: string): void {
    const owner = this.owners.get(id)
    this.instances.delete(id)
    this.owners.delete(id)
    if (owner != null) this.members.get(owner)?.owned.lost(id)
  }

  /** Moves a worker to another node. */
  move (worker: string, to: Incarnation, options: { tell: boolean }): void {
    const owner = this.owners.get(worker)
    if (owner === to || !this.instances.has(worker)) return
    this.owners.set(worker, to)
    if (options.tell && owner != null) this.members.get(owner)?.owned.lost(worker)
    const member = this.members.get(to)!
    member.gate.run(() => {
      const instance = this.instances.get(worker)
      if (instance !== undefined && this.owners.get(worker) === to) member.owned.gained(instance)
    })
  }

  /** Ends a node for good; a new one takes its place and its workers go to others once its ownership has lapsed. */
  kill (id: Incarnation): void {
    this.members.get(id)!.gate.kill()
    this.clock.schedule(OWNERSHIP_LEASE_MS, () => {
      if (!this.members.delete(id)) return
      this.addNode()
      this.depose(id)
    })
  }

  /** Stops a node for a while; when its ownership lapses meanwhile, its workers go to others and it is not told. */
  pause (id: Incarnation, duration: number): void {
    const { gate } = this.members.get(id)!
    gate.shut()
    if (duration > OWNERSHIP_LEASE_MS) this.clock.schedule(OWNERSHIP_LEASE_MS, () => { this.depose(id) })
    this.clock.schedule(duration, () => {
      gate.open()
      this.spread()
    })
  }

  deliver (from: Incarnation, to: Incarnation, message: Message): void {
    if (from !== to && this.random.next() < this.loss) return
    const copies = from !== to && this.random.next() < this.doubles ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.clock.schedule(this.random.integer(5), () => {
        const member = this.members.get(to)
        member?.gate.run(() => { member.receiver(from, message) })
      })
    }
  }

  get quarantinedWorkers (): string[] {
    return this.quarantined
  }
}
