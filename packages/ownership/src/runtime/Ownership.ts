import type { Assignment, Holder, Incarnation, Message, ResourceKey, Timer } from '@rattanstep/core'
import { EVENTS } from '../types/events.js'
import type { OwnershipOptions } from '../types/OwnershipOptions.js'
import type { OwnershipStatus } from '../types/OwnershipStatus.js'
import type { Timing } from '../types/Timing.js'
import { allVoters } from '../utils/quorum.js'
import { resolveTiming } from '../utils/resolveTiming.js'
import { AssignmentRow } from './AssignmentRow.js'
import { Coordinator } from './Coordinator.js'
import { describeStatus } from './describeStatus.js'
import { Dispatcher } from './Dispatcher.js'
import type { HeartbeatListener } from './Dispatcher.js'
import { FailureDetector } from './FailureDetector.js'
import { Follower } from './Follower.js'
import type { AssignmentListener } from './Follower.js'
import { HandOvers } from './HandOvers.js'
import { Heartbeats } from './Heartbeats.js'
import { Lease } from './Lease.js'
import { LocalView } from './LocalView.js'
import { Membership } from './Membership.js'
import type { MembershipEvent } from './Membership.js'
import { Planner } from './Planner.js'
import { Releases } from './Releases.js'
import { RemovalVotes } from './RemovalVotes.js'
import { Surplus } from './Surplus.js'
import { Voter } from './Voter.js'

/**
 * Decides which node owns which resource of one cell. The table is only called when the assignment changes;
 * in between, each holder keeps a lease by promises of a majority of the voters named in the assignment.
 */
export class Ownership {
  private readonly options: OwnershipOptions
  private readonly timing: Timing
  private readonly follower: Follower
  private readonly voter: Voter
  private readonly lease: Lease
  private readonly removalVotes = new RemovalVotes()
  private readonly releases = new Releases()
  private readonly heartbeats: Heartbeats
  private readonly failureDetector: FailureDetector
  private readonly view: LocalView
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
    const { voter, lease, follower, removalVotes, releases } = this
    const heartbeats = new Heartbeats({ ...options, self, timing, lease, voter })
    const failureDetector = new FailureDetector({ self, clock, log, lease: timing.lease, heartbeats, voter })
    const view = new LocalView({ ...options, self: () => this.self, timing, follower, heartbeats, removalVotes, releases, failureDetector })
    this.heartbeats = heartbeats
    this.failureDetector = failureDetector
    this.view = view
    this.handOvers = new HandOvers({
      log,
      follower,
      view,
      releases,
      surplus: new Surplus({ clock, self, interval: timing.rebalanceInterval }),
      eligibilityFacts: () => view.eligibilityFacts(),
      isDraining: () => this.self.draining
    })
    this.dispatcher = new Dispatcher({ ...options, self, follower, heartbeats, voter, removalVotes, reconcile: () => { this.reconcile() } })
    this.coordinator = this.createCoordinator()
    this.membership = new Membership(log)
    this.follower.onChange(assignment => { this.handleAssignment(assignment) })
  }

  /**
   * Reads the assignment and starts to send heartbeats. The node joins the cell on its own. This does not fail
   * when the table is down.
   */
  async start (): Promise<void> {
    if (this.timer !== null) return
    this.timer = this.options.clock.repeat(this.timing.heartbeat, () => { this.onHeartbeatTimer() })
    await this.coordinator.refresh()
    this.onHeartbeatTimer()
  }

  /** Stops at once; `canAdmit` returns false from now on. */
  stop (): void {
    this.timer?.cancel()
    this.timer = null
    this.coordinator.stop()
    this.applyEvent('stop')
  }

  /**
   * Handles a message from another node. Before `start` and after `stop`, messages of this package are dropped.
   *
   * @param from - the sender
   * @param message - any message
   * @returns whether the message belongs to this package
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
   * Must be checked immediately before each admission.
   *
   * @param resource - the resource to admit for
   * @returns whether this node may admit for it now: it owns the resource, has not released it, and holds a lease
   */
  canAdmit (resource: ResourceKey): boolean {
    if (this.ownerOf(resource) !== this.self.incarnation) return false
    if (this.releases.has(resource)) return false
    return this.leaseLeft() > 0
  }

  /** @returns ms until this node's lease ends, on its own clock; 0 without a lease */
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
   * @returns resolves when this node owns none of them in the newest known assignment, or when it is stopped;
   * keeps waiting while the table is down
   */
  async release (resources: readonly ResourceKey[]): Promise<void> {
    const owned = resources.filter(resource => this.ownerOf(resource) === this.self.incarnation)
    this.handOvers.stopAdmitting(owned, 'request')
    await this.waitUntil(() => owned.every(resource => this.ownerOf(resource) !== this.self.incarnation))
  }

  /**
   * Planned stop: stops admitting at once, hands over all resources and leaves the assignment. The node keeps
   * voting until `stop`, so that the others can replace it as a voter.
   *
   * @returns resolves when the node is neither a holder nor a voter, when it owns nothing and all other holders
   * are draining too, or when it is stopped; keeps waiting while the table is down
   */
  async drain (): Promise<void> {
    this.self = { ...this.self, draining: true }
    this.applyEvent('drain')
    this.handOvers.stopAdmitting(this.view.owned(), 'stop')
    await this.waitUntil(() => this.hasLeft() || this.isLastToLeave())
  }

  /**
   * @param resource - a resource
   * @returns its owner in the newest known assignment, or null
   */
  ownerOf (resource: ResourceKey): Incarnation | null {
    return this.assignment.owners[resource] ?? null
  }

  /** @returns the other holders in the newest known assignment */
  peers (): Incarnation[] {
    return this.otherHolders().map(holder => holder.incarnation)
  }

  /** @returns the status for operators */
  status (): OwnershipStatus {
    const { self, follower, heartbeats, view, lease, coordinator } = this
    const { clock } = this.options
    const { state } = this.membership
    return describeStatus({ self, state, clock, follower, heartbeats, view, lease, coordinator, leaseLeft: this.leaseLeft() })
  }

  private createCoordinator (): Coordinator {
    const { options, timing, follower, releases, failureDetector, handOvers, dispatcher } = this
    const { clock, table, cell = 'main' } = options
    return new Coordinator({
      ...options,
      timing,
      follower,
      row: new AssignmentRow({ table, cell, clock, timeout: timing.tableTimeout }),
      planner: new Planner(),
      facts: () => this.view.facts(),
      shouldPoll: () => this.shouldPoll(),
      beforePlan: () => {
        dispatcher.requestVotes(failureDetector.suspects(), failureDetector.hearsMajority())
        handOvers.releaseDue()
      },
      onUncertainWrite: () => { releases.markUncertain() },
      onFailedWrite: () => { releases.revertTentative() },
      broadcast: (assignment, previous) => { dispatcher.broadcast(assignment, previous) }
    })
  }

  private otherHolders (): Holder[] {
    return this.assignment.holders.filter(holder => holder.incarnation !== this.self.incarnation)
  }

  private isHolder (): boolean {
    return this.otherHolders().length < this.assignment.holders.length
  }

  private hasLeft (): boolean {
    return !this.isHolder() && !allVoters(this.assignment).includes(this.self.incarnation)
  }

  private isLastToLeave (): boolean {
    return this.view.owned().length === 0 && this.otherHolders().every(holder => holder.draining)
  }

  private onHeartbeatTimer (): void {
    if (this.timer === null) return
    this.failureDetector.detectPause()
    this.heartbeats.send()
    this.view.refresh()
    this.applyEvent(this.leaseLeft() > 0 ? 'lease' : 'lapse')
    this.reconcile()
  }

  private reconcile (): void {
    if (this.timer === null) return
    this.coordinator.reconcile().catch((error: unknown) => {
      this.options.log.write(EVENTS.workFailed, { error: String(error) })
    })
  }

  private applyEvent (event: MembershipEvent): void {
    this.membership.apply(event, { version: this.assignment.version, activeVoters: this.lease.activeVoters })
  }

  private handleAssignment (assignment: Assignment): void {
    this.voter.adoptVersion(assignment.version)
    this.voter.prune(new Set(assignment.holders.map(holder => holder.incarnation)), this.options.clock.now())
    this.lease.adopt(assignment)
    this.removalVotes.adopt(assignment.version)
    this.heartbeats.adopt(assignment)
    this.failureDetector.adopt(assignment)
    this.applyEvent(this.isHolder() ? 'name' : 'remove')
    this.releases.adopt(new Set(this.view.owned()))
    if (this.self.draining) this.releases.add(this.view.owned())
    this.view.refresh()
    if (this.timer !== null) this.heartbeats.send()
  }

  /** The row is polled while this node is not a holder with a lease, suspects another holder, or should hand over resources. */
  private shouldPoll (): boolean {
    if (!this.isHolder() || this.leaseLeft() === 0) return true
    return this.failureDetector.suspects().length > 0 || this.handOvers.isDue()
  }

  private async waitUntil (condition: () => boolean): Promise<void> {
    while (!condition() && this.timer !== null) {
      this.reconcile()
      await this.options.clock.sleep(this.timing.stagger)
    }
  }
}
