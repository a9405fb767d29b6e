import type { Assignment, Holder, Incarnation, Message, ResourceKey, Timer } from '@rattanstep/core'
import { EVENTS } from '../types/events.js'
import type { OwnershipOptions } from '../types/OwnershipOptions.js'
import type { OwnershipStatus } from '../types/OwnershipStatus.js'
import type { Timing } from '../types/Timing.js'
import { namedVoters } from '../utils/quorum.js'
import { resolveTiming } from '../utils/resolveTiming.js'
import { AssignmentRow } from './AssignmentRow.js'
import { Ballot } from './Ballot.js'
import { Coordinator } from './Coordinator.js'
import { describeStatus } from './describeStatus.js'
import { Dispatcher } from './Dispatcher.js'
import type { HeartbeatListener } from './Dispatcher.js'
import { Follower } from './Follower.js'
import type { AssignmentListener } from './Follower.js'
import { HandOvers } from './HandOvers.js'
import { Heartbeats } from './Heartbeats.js'
import { Knowledge } from './Knowledge.js'
import { Lease } from './Lease.js'
import { Membership } from './Membership.js'
import type { MembershipEvent } from './Membership.js'
import { Planner } from './Planner.js'
import { Releases } from './Releases.js'
import { Surplus } from './Surplus.js'
import { Voter } from './Voter.js'
import { Watch } from './Watch.js'

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
  private readonly ballot = new Ballot()
  private readonly releases = new Releases()
  private readonly heartbeats: Heartbeats
  private readonly watch: Watch
  private readonly knowledge: Knowledge
  private readonly handOvers: HandOvers
  private readonly dispatcher: Dispatcher
  private readonly coordinator: Coordinator
  private readonly membership: Membership
  private self: Holder
  private timer: Timer | null = null

  /** @param options - see the type */
  constructor (options: OwnershipOptions) {
    const { clock, log } = options
    const self = options.self.incarnation
    const timing = resolveTiming(options.timing)
    this.options = options
    this.timing = timing
    this.self = options.self
    this.follower = new Follower({ log, self })
    this.voter = new Voter(timing)
    this.lease = new Lease(timing)
    const { voter, lease, follower, ballot, releases } = this
    const heartbeats = new Heartbeats({ ...options, self, timing, lease, voter })
    const watch = new Watch({ self, clock, log, lease: timing.lease, heartbeats, voter })
    const knowledge = new Knowledge({ ...options, self: () => this.self, timing, follower, heartbeats, ballot, releases, watch })
    this.heartbeats = heartbeats
    this.watch = watch
    this.knowledge = knowledge
    this.handOvers = new HandOvers({
      log,
      follower,
      knowledge,
      releases,
      surplus: new Surplus({ clock, self, pause: timing.balance }),
      usability: () => knowledge.usability(),
      isDraining: () => this.self.draining
    })
    this.dispatcher = new Dispatcher({ ...options, self, follower, heartbeats, voter, ballot, wake: () => { this.wake() } })
    this.coordinator = this.makeCoordinator()
    this.membership = new Membership(log)
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
    this.note('stop')
  }

  /**
   * Takes a message from another node. Before `start` and after `stop` messages of this package are dropped.
   *
   * @param from - the sender
   * @param message - any message
   * @returns whether the message was one of this package
   */
  receive (from: Incarnation, message: Message): boolean {
    if (this.timer === null) return Dispatcher.handles(message)
    return this.dispatcher.receive(from, message)
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
    this.dispatcher.onHeartbeat(listener)
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
    this.handOvers.stopAdmitting(owned, 'request')
    await this.until(() => owned.every(resource => this.ownerOf(resource) !== this.self.incarnation))
  }

  /**
   * Planned stop: stops admitting at once, hands over everything and leaves the assignment. Until `stop` the
   * node goes on voting, so that others can exchange it as a voter.
   *
   * @returns resolves when the node is no holder and no voter any more, or when it owns nothing and all other
   * holders stop too; it keeps waiting while the table is down
   */
  async drain (): Promise<void> {
    this.self = { ...this.self, draining: true }
    this.note('drain')
    this.handOvers.stopAdmitting(this.knowledge.owned(), 'stop')
    await this.until(() => this.hasLeft() || this.isLastToLeave())
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
    return this.otherHolders().map(holder => holder.incarnation)
  }

  /** @returns what operators see */
  status (): OwnershipStatus {
    const { self, follower, heartbeats, knowledge, lease, coordinator } = this
    const { clock } = this.options
    const { state } = this.membership
    return describeStatus({ self, state, clock, follower, heartbeats, knowledge, lease, coordinator, leaseLeft: this.leaseLeft() })
  }

  private makeCoordinator (): Coordinator {
    const { options, timing, follower, releases, watch, handOvers, dispatcher } = this
    const { clock, table, cell = 'main' } = options
    return new Coordinator({
      ...options,
      timing,
      follower,
      row: new AssignmentRow({ table, cell, clock, answer: timing.answer }),
      planner: new Planner(),
      facts: () => this.knowledge.facts(),
      isUnsettled: () => this.isUnsettled(),
      prepare: () => {
        dispatcher.collectVotes(watch.suspects(), watch.hearsMajority())
        handOvers.begin()
      },
      doubt: () => { releases.doubt() },
      undo: () => { releases.undo() },
      push: (assignment, previous) => { dispatcher.push(assignment, previous) }
    })
  }

  private otherHolders (): Holder[] {
    return this.assignment.holders.filter(holder => holder.incarnation !== this.self.incarnation)
  }

  private isHolder (): boolean {
    return this.otherHolders().length < this.assignment.holders.length
  }

  private hasLeft (): boolean {
    return !this.isHolder() && !namedVoters(this.assignment).includes(this.self.incarnation)
  }

  private isLastToLeave (): boolean {
    return this.knowledge.owned().length === 0 && this.otherHolders().every(holder => holder.draining)
  }

  private beat (): void {
    if (this.timer === null) return
    this.watch.look()
    this.heartbeats.beat()
    this.knowledge.look()
    this.note(this.leaseLeft() > 0 ? 'lease' : 'lapse')
    this.wake()
  }

  private wake (): void {
    if (this.timer === null) return
    this.coordinator.work().catch((error: unknown) => {
      this.options.log.write(EVENTS.workFailed, { error: String(error) })
    })
  }

  private note (event: MembershipEvent): void {
    this.membership.apply(event, { version: this.assignment.version, countsBy: this.lease.countsBy })
  }

  private follow (assignment: Assignment): void {
    this.voter.follow(assignment.version)
    this.voter.forget(new Set(assignment.holders.map(holder => holder.incarnation)), this.options.clock.now())
    this.lease.adopt(assignment)
    this.ballot.adopt(assignment.version)
    this.heartbeats.adopt(assignment)
    this.watch.adopt(assignment)
    this.note(this.isHolder() ? 'name' : 'remove')
    this.releases.adopt(new Set(this.knowledge.owned()))
    if (this.self.draining) this.releases.want(this.knowledge.owned())
    this.knowledge.look()
    if (this.timer !== null) this.heartbeats.beat()
  }

  /** The row is looked at when this node is not settled in it or when another holder seems dead. */
  private isUnsettled (): boolean {
    if (!this.isHolder() || this.leaseLeft() === 0) return true
    return this.watch.suspects().length > 0 || this.handOvers.isDue()
  }

  private async until (condition: () => boolean): Promise<void> {
    while (!condition() && this.timer !== null) {
      this.wake()
      await this.options.clock.sleep(this.timing.stagger)
    }
  }
}
