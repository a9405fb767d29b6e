import type { Assignment, HeartbeatMessage, Holder, Incarnation, Message, ResourceKey, Timer } from '@rattanstep/core'
import { EVENTS } from '../types/events.js'
import type { OwnershipOptions } from '../types/OwnershipOptions.js'
import type { OwnershipStatus } from '../types/OwnershipStatus.js'
import type { Timing } from '../types/Timing.js'
import { parseAssignment } from '../utils/parseAssignment.js'
import { namedVoters } from '../utils/quorum.js'
import { resolveTiming } from '../utils/resolveTiming.js'
import { AssignmentRow } from './AssignmentRow.js'
import { Ballot } from './Ballot.js'
import { Coordinator } from './Coordinator.js'
import { Follower } from './Follower.js'
import type { AssignmentListener } from './Follower.js'
import { Heartbeats } from './Heartbeats.js'
import { Knowledge } from './Knowledge.js'
import { Lease } from './Lease.js'
import { candidates } from './plan/shares.js'
import { Planner } from './Planner.js'
import { Releases } from './Releases.js'
import { Surplus } from './Surplus.js'
import { Voter } from './Voter.js'
import { Watch } from './Watch.js'

/** Called with each heartbeat that arrives. */
export type HeartbeatListener = (from: Incarnation, heartbeat: HeartbeatMessage) => void

/**
 * Decides which node owns which resource of one cell. The table is asked only when something changes;
 * in between, a majority of the voters named in the assignment backs each holder by promises.
 */
export class Ownership {
  private readonly options: OwnershipOptions
  private readonly timing: Timing
  private readonly follower: Follower
  private readonly voter: Voter
  private readonly lease: Lease
  private readonly heartbeats: Heartbeats
  private readonly ballot = new Ballot()
  private readonly releases = new Releases()
  private readonly watch: Watch
  private readonly knowledge: Knowledge
  private readonly surplus: Surplus
  private readonly coordinator: Coordinator
  private readonly heartbeatListeners: HeartbeatListener[] = []
  private self: Holder
  private timer: Timer | null = null
  private hadLease = false

  /** @param options - see the type */
  constructor (options: OwnershipOptions) {
    const { clock, log, random, network } = options
    const timing = resolveTiming(options.timing)
    const self = options.self.incarnation
    this.options = options
    this.timing = timing
    this.self = options.self
    this.follower = new Follower({ log, self })
    this.voter = new Voter({ lease: timing.lease })
    this.lease = new Lease(timing)
    const { voter, lease, follower, ballot, releases } = this
    this.heartbeats = new Heartbeats({ self, network, clock, timing, lease, voter, load: options.load, rules: options.rules })
    const { heartbeats } = this
    this.watch = new Watch({ self, clock, log, lease: timing.lease, heartbeats, voter })
    const { watch } = this
    this.knowledge = new Knowledge({
      self: () => this.self,
      clock,
      log,
      timing,
      follower,
      heartbeats,
      ballot,
      releases,
      watch,
      instances: options.instances,
      resources: options.resources
    })
    this.surplus = new Surplus({ clock, self, pause: timing.balance })
    this.coordinator = new Coordinator({
      clock,
      random,
      log,
      timing,
      follower,
      row: new AssignmentRow({ table: options.table, cell: options.cell ?? 'main', clock, answer: timing.answer }),
      planner: new Planner(),
      facts: () => this.knowledge.facts(),
      isUnsettled: () => this.isUnsettled(),
      prepare: () => { this.prepare() },
      doubt: () => { releases.doubt() },
      undo: () => { releases.undo() },
      push: (assignment, previous) => { this.push(assignment, previous) }
    })
    this.follower.onChange(assignment => { this.follow(assignment) })
  }

  /**
   * Reads the assignment and starts to send heartbeats. The node joins by itself; a table that is down does
   * not make this fail.
   */
  async start (): Promise<void> {
    if (this.timer !== null) return
    this.timer = this.options.clock.repeat(this.timing.heartbeat, () => { this.beat() })
    await this.coordinator.refresh()
    this.beat()
  }

  /** Ends all work at once; nothing is admitted from now on. */
  stop (): void {
    this.timer?.cancel()
    this.timer = null
    this.coordinator.stop()
  }

  /**
   * Takes a message from another node.
   *
   * @param from - the sender
   * @param message - any message
   * @returns whether the message was one of this package
   */
  receive (from: Incarnation, message: Message): boolean {
    switch (message.kind) {
      case 'heartbeat': this.receiveHeartbeat(from, message)
        return true
      case 'promise': this.heartbeats.takePromise(from, message)
        return true
      case 'vote-request': this.answerVoteRequest(from, message.holder, message.version)
        return true
      case 'vote': if (message.granted) this.takeVote(from, message.holder, message.version)
        return true
      case 'assignment': this.receiveAssignment(from, message.assignment)
        return true
      case 'fetch': return this.answerFetch(from, message.what)
      default: return false
    }
  }

  /** The newest known assignment. */
  get assignment (): Assignment {
    return this.follower.assignment
  }

  /**
   * To be asked right before each admission.
   *
   * @param resource - what is to be filled
   * @returns whether this node may admit for it at this instant
   */
  mayAdmit (resource: ResourceKey): boolean {
    if (this.ownerOf(resource) !== this.self.incarnation) return false
    if (this.releases.has(resource)) return false
    return this.leaseLeft() > 0
  }

  /** @returns ms for which a majority of the voters still backs this node, by its own clock */
  leaseLeft (): number {
    if (this.timer === null) return 0
    return Math.max(0, this.lease.expiry() - this.options.clock.now())
  }

  /** @param listener - called after each change of the assignment */
  onChange (listener: AssignmentListener): void {
    this.follower.onChange(listener)
  }

  /** @param listener - called with each heartbeat that arrives */
  onHeartbeat (listener: HeartbeatListener): void {
    this.heartbeatListeners.push(listener)
  }

  /**
   * Stops admitting for resources at once and hands them over.
   *
   * @param resources - resources of this node; others are ignored
   * @returns resolves when the newest known assignment gives them to another node or to none; it keeps
   * waiting while the table is down
   */
  async release (resources: readonly ResourceKey[]): Promise<void> {
    const owned = resources.filter(resource => this.ownerOf(resource) === this.self.incarnation)
    if (owned.length === 0) return
    this.stopAdmitting(owned, 'request')
    await this.until(() => owned.every(resource => this.ownerOf(resource) !== this.self.incarnation))
  }

  /**
   * Planned stop: stops admitting at once, hands over everything and leaves the assignment. Until `stop` the
   * node goes on voting, so that others can exchange it as a voter.
   *
   * @returns resolves when the node is no holder and no voter any more; it keeps waiting while the table is down
   */
  async drain (): Promise<void> {
    this.self = { ...this.self, draining: true }
    this.stopAdmitting(this.knowledge.owned(), 'stop')
    await this.until(() => !this.isHolder() && !namedVoters(this.assignment).includes(this.self.incarnation))
  }

  /**
   * @param resource - a resource
   * @returns its owner in the newest known assignment, or null
   */
  ownerOf (resource: ResourceKey): Incarnation | null {
    return this.assignment.owners[resource] ?? null
  }

  /** @returns the other holders of the newest known assignment */
  peers (): Incarnation[] {
    return this.assignment.holders
      .map(holder => holder.incarnation)
      .filter(holder => holder !== this.self.incarnation)
  }

  /** @returns what operators see */
  status (): OwnershipStatus {
    const now = this.options.clock.now()
    const { version, voters, nextVoters, holders } = this.assignment
    const { unownedSince } = this.knowledge
    const { table } = this.coordinator
    const heardBefore = (holder: Incarnation): number | null => {
      if (holder === this.self.incarnation) return 0
      const at = this.heartbeats.lastHeard(holder)
      return at === -Infinity ? null : now - at
    }
    return {
      version,
      voters,
      nextVoters,
      countsBy: this.lease.countsBy,
      isHolder: this.isHolder(),
      draining: this.self.draining,
      leaseLeft: this.leaseLeft(),
      owned: this.knowledge.owned(),
      unowned: this.knowledge.unowned(),
      unownedFor: unownedSince === null ? null : now - unownedSince,
      holders: holders.map(({ incarnation, dataCentre, draining }) =>
        ({ incarnation, dataCentre, draining, heardBefore: heardBefore(incarnation) })),
      table: table === null ? null : { reachable: table.is, for: now - table.since }
    }
  }

  private isHolder (): boolean {
    return this.assignment.holders.some(holder => holder.incarnation === this.self.incarnation)
  }

  private beat (): void {
    if (this.timer === null) return
    this.heartbeats.beat()
    this.knowledge.look()
    this.noteLease()
    this.wake()
  }

  private wake (): void {
    if (this.timer === null) return
    this.coordinator.work().catch((error: unknown) => {
      this.options.log.write(EVENTS.listenerFailed, { error: String(error) })
    })
  }

  private noteLease (): void {
    const has = this.leaseLeft() > 0
    if (has === this.hadLease) return
    this.hadLease = has
    const { version } = this.assignment
    this.options.log.write(has ? EVENTS.leaseGained : EVENTS.leaseLost, { version, countsBy: this.lease.countsBy })
  }

  private follow (assignment: Assignment): void {
    this.voter.follow(assignment.version)
    this.voter.forget(new Set(assignment.holders.map(holder => holder.incarnation)), this.options.clock.now())
    this.lease.adopt(assignment)
    this.ballot.adopt(assignment.version)
    this.heartbeats.adopt(assignment)
    this.watch.adopt(assignment)
    this.releases.adopt(new Set(this.knowledge.owned()))
    if (this.self.draining) this.releases.want(this.knowledge.owned())
    this.knowledge.look()
    this.heartbeats.beat()
  }

  /** The row is looked at when this node is not settled in it or when another holder seems dead. */
  private isUnsettled (): boolean {
    if (!this.isHolder() || this.leaseLeft() === 0) return true
    if (this.watch.suspects().length > 0) return true
    return this.gone().length > 0 || this.excess().length > 0
  }

  private prepare (): void {
    const { voter, ballot, options } = this
    const { version } = this.assignment
    for (const holder of this.watch.suspects()) {
      if (voter.vote(holder, version, options.clock.now())) ballot.add(holder, this.self.incarnation, version)
      for (const other of namedVoters(this.assignment)) {
        if (other !== this.self.incarnation) options.network.send(other, { kind: 'vote-request', holder, version })
      }
    }
    const gone = this.gone()
    const excess = this.excess()
    if (gone.length > 0) this.stopAdmitting(gone, 'gone')
    if (excess.length === 0) return
    this.surplus.touch()
    this.releases.try(excess)
    options.log.write(EVENTS.released, { resources: excess, reason: 'balance' })
  }

  private gone (): ResourceKey[] {
    return this.knowledge.gone().filter(resource => !this.releases.has(resource))
  }

  private excess (): ResourceKey[] {
    const { assignment, timing } = this
    if (this.self.draining || !this.releases.isEmpty()) return []
    const able = candidates(assignment.holders, this.heartbeats.heard(timing.lease), this.knowledge.leaving())
    return this.surplus.find({ assignment, candidates: able })
  }

  private stopAdmitting (resources: readonly ResourceKey[], reason: string): void {
    this.releases.want(resources)
    this.options.log.write(EVENTS.released, { resources, reason })
    this.wake()
  }

  private push (assignment: Assignment, previous: Assignment): void {
    const holders = [...assignment.holders, ...previous.holders].map(holder => holder.incarnation)
    for (const holder of new Set(holders)) {
      if (holder !== this.self.incarnation) this.options.network.send(holder, { kind: 'assignment', assignment })
    }
  }

  private receiveHeartbeat (from: Incarnation, heartbeat: HeartbeatMessage): void {
    const { network } = this.options
    this.heartbeats.hear(from, heartbeat)
    if (heartbeat.version < this.assignment.version) network.send(from, { kind: 'assignment', assignment: this.assignment })
    if (heartbeat.version > this.assignment.version) network.send(from, { kind: 'fetch', what: 'assignment' })
    for (const listener of this.heartbeatListeners) listener(from, heartbeat)
  }

  private receiveAssignment (from: Incarnation, value: Assignment): void {
    const parsed = parseAssignment(value)
    if (parsed.isErr()) {
      this.options.log.write(EVENTS.invalidMessage, { from, kind: 'assignment', findings: parsed.error })
      return
    }
    if (this.follower.adopt(parsed.value, 'peer')) this.wake()
  }

  private answerFetch (from: Incarnation, what: string): boolean {
    if (what !== 'assignment') return false
    if (this.assignment.version > 0) this.options.network.send(from, { kind: 'assignment', assignment: this.assignment })
    return true
  }

  private answerVoteRequest (from: Incarnation, holder: Incarnation, version: number): void {
    const { clock, log, network } = this.options
    if (version !== this.assignment.version) return
    const granted = this.voter.vote(holder, version, clock.now())
    if (granted) log.write(EVENTS.voteGiven, { holder, version, to: from })
    network.send(from, { kind: 'vote', holder, version, granted })
  }

  private takeVote (from: Incarnation, holder: Incarnation, version: number): void {
    this.ballot.add(holder, from, version)
    this.wake()
  }

  private async until (condition: () => boolean): Promise<void> {
    while (!condition() && this.timer !== null) {
      await this.options.clock.sleep(this.timing.stagger)
      this.wake()
    }
  }
}
