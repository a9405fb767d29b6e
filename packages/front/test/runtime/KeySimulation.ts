import { Clock, EMPTY_ASSIGNMENT, FakeClock, KEY_SHARDS, Network, SeededRandom, shardResource } from '@rattanstep/core'
import type { Assignment, Incarnation, Message, Timer } from '@rattanstep/core'
import { Metrics, SilentLog } from '@rattanstep/telemetry'
import { KeyClient, KeyHome } from '../../src/index.js'
import type { KeyClaim } from '../../src/index.js'

/** Window and tolerance that are short enough for windows to pass within one case. */
export const TIMES = { window: 8000, tolerance: 300 }

const LEASE_MS = 1000
const NODES: Incarnation[] = ['A', 'B', 'C']

/** Duration and faults of one case; `loss`, `repeats` and `late` are probabilities for each message. */
export interface SimulationOptions {
  seed: number
  /** Simulated duration of the case in ms. */
  duration: number
  loss: number
  repeats: number
  late: number
  takeovers: boolean
  moves: boolean
}

/** Result of one case. */
export interface SimulationResult {
  /** Number of runs of each key. */
  runs: Map<string, number>
  verdicts: Map<string, number>
  takeovers: number
  moves: number
  claims: number
}

/** Clock of one node. Its wall clock differs from the true time, and its timers do not fire once the node is dead. */
class NodeClock extends Clock {
  isAlive = true

  constructor (private readonly base: FakeClock, private readonly offset: number) {
    super()
  }

  override now (): number {
    return this.base.now()
  }

  override wall (): number {
    return this.base.wall() + this.offset
  }

  override schedule (delay: number, callback: () => void): Timer {
    return this.base.schedule(delay, () => { if (this.isAlive) callback() })
  }
}

class SimulatedNode {
  assignment = EMPTY_ASSIGNMENT
  leaseUntil = 0
  isIsolated = false
  readonly released = new Set<string>()
  readonly clock: NodeClock
  readonly home: KeyHome
  readonly keys: KeyClient

  constructor (readonly name: Incarnation, base: FakeClock, offset: number, send: (from: SimulatedNode, to: Incarnation, message: Message) => void) {
    this.clock = new NodeClock(base, offset)
    const network = new SimulatedNetwork((to, message) => { send(this, to, message) })
    const shared = { self: name, network, clock: this.clock, log: new SilentLog(), metrics: new Metrics() }
    this.home = new KeyHome({ ...shared, times: TIMES, mayAdmit: resource => this.mayAdmit(resource) })
    this.keys = new KeyClient({ ...shared, ownerOf: resource => this.assignment.owners[resource] ?? null })
    this.home.start()
  }

  receive (from: Incarnation, message: Message): void {
    if (!this.clock.isAlive) return
    if (!this.home.receive(from, message)) this.keys.receive(from, message)
  }

  updateAssignment (assignment: Assignment): void {
    if (!this.clock.isAlive || assignment.version <= this.assignment.version) return
    const previous = this.assignment
    this.assignment = assignment
    this.released.clear()
    this.home.assignmentChanged(assignment, previous)
  }

  private mayAdmit (resource: string): boolean {
    return this.assignment.owners[resource] === this.name && !this.released.has(resource) && this.leaseUntil > this.clock.now()
  }
}

class SimulatedNetwork extends Network {
  constructor (private readonly forward: (to: Incarnation, message: Message) => void) {
    super()
  }

  override addPeer (): void {}
  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    this.forward(to, message)
  }
}

/**
 * Simulates three nodes, each both a front and a home of keys. Shards move between them, planned or by takeover; messages
 * are lost, repeated or delayed; callers repeat their requests at any node; and wall clocks differ.
 */
export class KeySimulation {
  private readonly base = new FakeClock()
  private readonly random: SeededRandom
  private readonly nodes: SimulatedNode[]
  private assignment: Assignment = EMPTY_ASSIGNMENT
  private isChanging = false
  private readonly result: SimulationResult = { runs: new Map(), verdicts: new Map(), takeovers: 0, moves: 0, claims: 0 }

  constructor (private readonly options: SimulationOptions) {
    this.random = new SeededRandom(options.seed)
    this.nodes = NODES.map(name => new SimulatedNode(name, this.base, (this.random.next() - 0.5) * TIMES.tolerance, (from, to, message) => { this.send(from, to, message) }))
  }

  async run (): Promise<SimulationResult> {
    this.publishAssignment(this.assignAllShards(() => 'A'), 0)
    this.base.repeat(LEASE_MS / 4, () => { this.renew() })
    this.renew()
    this.base.repeat(1500, () => { this.changeOwners() })
    for (let number = 0; number < 6; number++) this.scheduleCaller(`key-${number}`)
    await this.base.advance(this.options.duration)
    for (const node of this.nodes) node.clock.isAlive = false
    return this.result
  }

  private scheduleCaller (key: string): void {
    const { duration } = this.options
    const start = this.random.integer(duration / 2)
    const known = this.random.next() < 0.6
    const skew = this.random.next() < 0.2 ? (this.random.next() - 0.5) * 8000 : (this.random.next() - 0.5) * TIMES.tolerance
    const firstSent = known ? Math.round(this.base.wall() + start + skew) : 0
    const latest = known ? duration : Math.min(duration, start + TIMES.window - 2000)
    const claim = { key, fingerprint: 'f', firstSent }
    this.base.schedule(start, () => { this.request(claim) })
    for (let repeat = 0; repeat < 5; repeat++) {
      this.base.schedule(start + this.random.integer(latest - start), () => { this.request(claim) })
    }
  }

  private request (claim: KeyClaim): void {
    const node = this.random.pick(this.nodes)
    if (!node.clock.isAlive) return
    this.result.claims++
    const abortController = new AbortController()
    if (this.random.next() < 0.1) node.clock.schedule(this.random.integer(200), () => { abortController.abort() })
    node.keys.claim(claim, abortController.signal).then(result => {
      const verdict = result.isErr() ? result.error : result.value.verdict
      this.result.verdicts.set(verdict, (this.result.verdicts.get(verdict) ?? 0) + 1)
      if (result.isErr() || result.value.verdict !== 'first') return
      const held = result.value
      const unsent = this.random.next() < 0.2
      node.clock.schedule(this.random.integer(1200), () => {
        if (unsent) {
          node.keys.settle(claim, held, 'not-run', null)
          return
        }
        this.result.runs.set(claim.key, (this.result.runs.get(claim.key) ?? 0) + 1)
        node.clock.schedule(this.random.integer(600), () => { node.keys.settle(claim, held, 'run', null) })
      })
    }, () => {})
  }

  private send (from: SimulatedNode, to: Incarnation, message: Message): void {
    const node = this.nodes.find(candidate => candidate.name === to)
    if (node === undefined || !from.clock.isAlive) return
    const copies = from === node ? 1 : this.copies()
    for (let copy = 0; copy < copies; copy++) {
      const delay = from === node ? 0 : this.delay()
      this.base.schedule(delay, () => {
        if (from !== node && (from.isIsolated || node.isIsolated)) return
        node.receive(from.name, structuredClone(message))
      })
    }
  }

  private copies (): number {
    if (this.random.next() < this.options.loss) return 0
    return this.random.next() < this.options.repeats ? 2 : 1
  }

  private delay (): number {
    return this.random.next() < this.options.late ? this.random.integer(4000) : this.random.integer(20)
  }

  private renew (): void {
    for (const node of this.nodes) {
      const isHolder = this.assignment.holders.some(holder => holder.incarnation === node.name)
      if (!node.isIsolated && isHolder && node.assignment.version === this.assignment.version) node.leaseUntil = this.base.now() + LEASE_MS
    }
  }

  private changeOwners (): void {
    if (this.isChanging) return
    const choice = this.random.next()
    if (choice < 0.3 && this.options.takeovers) this.takeOver()
    else if (choice < 0.8 && this.options.moves) this.move()
  }

  /** Planned move: the owner stops admitting, and then the new assignment is published. */
  private move (): void {
    const from = this.random.pick(this.nodes.filter(node => !node.isIsolated && node.clock.isAlive))
    const others = this.nodes.filter(node => node !== from && !node.isIsolated && node.clock.isAlive)
    if (others.length === 0 || from.assignment.version !== this.assignment.version) return
    const to = this.random.pick(others)
    const moved = Object.keys(this.assignment.owners).filter(resource => this.assignment.owners[resource] === from.name)
    for (const resource of moved) from.released.add(resource)
    this.isChanging = true
    this.base.schedule(this.random.integer(300), () => {
      const owners = { ...this.assignment.owners }
      for (const resource of moved) owners[resource] = to.name
      this.result.moves++
      this.publishAssignment(owners, 400)
    })
  }

  /** Takeover: the owner is isolated, its lease expires, and then the new assignment is published. Later the owner returns. */
  private takeOver (): void {
    const lostNode = this.random.pick(this.nodes.filter(node => !node.isIsolated && node.clock.isAlive))
    const others = this.nodes.filter(node => node !== lostNode && !node.isIsolated && node.clock.isAlive)
    if (others.length < 2) return
    this.isChanging = true
    lostNode.isIsolated = true
    this.base.schedule(LEASE_MS + this.random.integer(500), () => {
      this.result.takeovers++
      const owners = { ...this.assignment.owners }
      for (const [resource, owner] of Object.entries(owners)) if (owner === lostNode.name) owners[resource] = this.random.pick(others).name
      this.publishAssignment(owners, 400, lostNode)
      this.base.schedule(this.random.integer(2500), () => {
        lostNode.isIsolated = false
        this.publishAssignment(this.assignment.owners, 400)
      })
    })
  }

  private publishAssignment (owners: Assignment['owners'], maxDelay: number, without?: SimulatedNode): void {
    const holders = this.nodes.filter(node => node !== without).map(({ name }) => ({ incarnation: name, dataCentre: 'd', peer: { host: '', port: 0 }, draining: false }))
    this.assignment = { ...EMPTY_ASSIGNMENT, version: this.assignment.version + 1, holders, owners }
    const row = this.assignment
    this.isChanging = false
    for (const node of this.nodes) this.base.schedule(maxDelay === 0 ? 0 : this.random.integer(maxDelay), () => { this.deliverAssignment(node, row) })
  }

  private deliverAssignment (node: SimulatedNode, assignment: Assignment): void {
    if (!node.isIsolated) node.updateAssignment(assignment)
    else this.base.schedule(300, () => { this.deliverAssignment(node, assignment) })
  }

  private assignAllShards (owner: (shard: number) => Incarnation): Assignment['owners'] {
    return Object.fromEntries(Array.from({ length: KEY_SHARDS }, (_, shard) => [shardResource(shard), owner(shard)]))
  }
}
