import { addResources, NO_RESOURCES, PERMIT_VALIDITY_MS, workerResource, workersOwnedBy } from '@rattanstep/core'
import type { Ask, Assignment, Clock, Incarnation, Instance, Load, Message, Network, Random, RefusalReason, Resources, Timer, WorkerReport } from '@rattanstep/core'
import { Admission } from '@rattanstep/policy'
import type { AdmissionStatus, Decision, GrantDecision, PeerLoad, PreemptionDemand, WorkerUsage } from '@rattanstep/policy'
import type { ResolvedRules } from '@rattanstep/rules'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { Outbox } from './Outbox.js'
import { DecisionPublisher } from './DecisionPublisher.js'
import type { Takeover } from './Takeover.js'
import { Takeovers } from './Takeovers.js'

/** Interval at which patience, ageing and the lease are checked. */
const TICK_MS = 20

/** Interval at which nodes that have not reported their permits are asked again. */
const PERMITS_REQUEST_INTERVAL_MS = 500

/** `retryAfter` of an ask that is refused because this node may not admit work. */
const NOT_OWNER_RETRY_MS = 250

/** Options of an `AdmissionService`. */
export interface AdmissionServiceOptions {
  /** Incarnation of this node. */
  self: Incarnation
  network: Network
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  /** Returns the newest known assignment. */
  assignment: () => Assignment
  /** Returns whether this node may admit work to the resource at this moment. */
  mayAdmit: (resource: string) => boolean
  /** Returns the remaining time of the node's lease in ms. */
  leaseLeft: () => number
  /** Returns the newest loads of the other owners. */
  peers: () => PeerLoad[]
  /** Returns the newest entry of a worker in the platform's list, if there is one. */
  instance: (worker: string) => Instance | undefined
}

/** Request to hold capacity for one task. */
export interface HoldRequest {
  worker: string
  resources: Resources
  class: string
  team: string
  /** Identifier of the hold; repeating a call with it has no further effect. */
  id: string
}

/**
 * The owner's side of permits. It receives messages, lets the policy decide, and sends the decisions as messages. The whole
 * capacity of a worker that is taken over counts as used until every node has reported its permits there, its tasks have
 * been counted, and a report of the worker shows what else it runs.
 */
export class AdmissionService {
  private readonly admission: Admission
  private readonly outbox: Outbox
  private readonly owned = new Map<string, Instance>()
  private readonly publisher: DecisionPublisher
  private readonly takeovers: Takeovers
  private readonly timers: Timer[] = []
  /** Longest bound of the request classes in ms. */
  private longestBound = 0
  /** Monotonic time in ms at which the lease was found to have expired; `null` while the node has a lease. */
  private leaseLapsedAt: number | null = null
  private draining = false
  private configured = false

  /** @param options - dependencies, and functions that return the current state of the node */
  constructor (private readonly options: AdmissionServiceOptions) {
    const { self, clock, random, network } = options
    this.admission = new Admission({ name: self, classes: [], now: clock.now(), random, preemptsTasks: true })
    this.outbox = new Outbox(network)
    this.publisher = new DecisionPublisher({ ...options, outbox: this.outbox })
    this.takeovers = new Takeovers(network)
  }

  /** Starts the timers. */
  start (): void {
    const { clock } = this.options
    this.timers.push(clock.repeat(TICK_MS, () => { this.tick() }))
    this.timers.push(clock.repeat(PERMITS_REQUEST_INTERVAL_MS, () => { this.takeovers.requestPermits() }))
  }

  /** Cancels the timers. */
  stop (): void {
    for (const timer of this.timers.splice(0)) timer.cancel()
  }

  /** Refuses new asks from now on. Asks that already wait are still served. */
  drain (): void {
    this.draining = true
  }

  /**
   * Applies rules. Nothing is admitted before the first call.
   *
   * @param rules - the newest rules
   */
  configure (rules: ResolvedRules): void {
    this.checkLease()
    this.configured = true
    const { classes, teams } = rules
    this.longestBound = Math.max(0, ...classes.filter(entry => entry.kind === 'request').map(entry => entry.bound))
    this.publish(this.admission.configure(classes, teams, this.now))
  }

  /**
   * Applies a new assignment.
   *
   * @param assignment - the newest assignment
   * @param previous - the assignment that was in effect before
   */
  handleAssignmentChange (assignment: Assignment, previous: Assignment): void {
    this.updateWorkers()
    const present = new Set(assignment.holders.map(holder => holder.incarnation))
    for (const { incarnation, draining } of previous.holders) {
      // A node that left in a planned stop still completes its requests in flight.
      if (present.has(incarnation) || draining) continue
      this.admission.handleFrontLoss(incarnation, this.now)
      this.takeovers.removeFront(incarnation)
    }
  }

  /** Applies the assignment and the platform's list: adds and removes workers, and drains those that are leaving. */
  updateWorkers (): void {
    this.checkLease()
    const { self, assignment, instance } = this.options
    const { version } = assignment()
    const owned = new Set(workersOwnedBy(assignment(), self))
    for (const worker of [...this.owned.keys()]) {
      if (!owned.has(worker)) this.removeWorker(worker, version)
    }
    for (const worker of owned) {
      const entry = instance(worker)
      if (entry !== undefined) this.updateWorker(entry, version)
    }
  }

  /**
   * Handles a message.
   *
   * @param from - sender
   * @param message - any message
   * @returns whether the message is for this service
   */
  receive (from: Incarnation, message: Message): boolean {
    this.checkLease()
    switch (message.kind) {
      case 'ask':
        for (const ask of message.asks) this.ask(ask, from)
        break
      case 'cancel':
        this.publish(this.admission.cancel(message.asks, from, this.now))
        break
      case 'release':
        for (const release of message.releases) this.publish(this.admission.release(release, from, this.now))
        break
      case 'permits':
        this.admission.renew(from, message.permits, this.now)
        this.takeovers.recordAnswer(from, message.version)
        break
      default:
        return false
    }
    this.outbox.flush()
    return true
  }

  /**
   * Applies a worker's report.
   *
   * @param report - the report
   */
  handleReport (report: WorkerReport): void {
    this.checkLease()
    const takeover = this.takeovers.get(report.worker)
    if (takeover === undefined) {
      this.publish(this.admission.applyReport(report.worker, readUsage(report), this.now))
      this.outbox.flush()
      return
    }
    if (takeover.complete && takeover.isConclusive(this.now - report.lag)) this.finishTakeover(takeover, report.requests)
  }

  /** @returns capacity that waiting work lacks and may preempt tasks for, or `null` */
  preemptionDemand (): PreemptionDemand | null {
    return this.admission.admitting ? this.admission.preemptionDemand() : null
  }

  /** @returns the load for heartbeats */
  load (): Load {
    return this.admission.load(this.now)
  }

  /** @returns workers that this node owns, and whether everything that runs on them is known */
  ownedWorkers (): Array<{ instance: Instance, complete: boolean }> {
    return [...this.owned.values()].map(instance => ({ instance, complete: this.isComplete(instance.id) }))
  }

  /**
   * Holds capacity for a task; see `Admission.hold`.
   *
   * @param options - the worker, and the task's needs
   * @returns whether the capacity is held
   */
  hold (options: HoldRequest): boolean {
    if (!this.options.mayAdmit(workerResource(options.worker))) return false
    return this.admission.hold(options.worker, options.resources, options.class, options.team, options.id, this.now)
  }

  /**
   * Counts a task that already runs on a worker; see `Admission.occupy`.
   *
   * @param options - the worker, and what the task uses
   */
  occupy (options: HoldRequest): void {
    this.admission.occupy(options.worker, options.resources, options.class, options.team, options.id, this.now)
  }

  /** @param worker - identifier of a worker on which every task has been counted */
  markTasksCounted (worker: string): void {
    const takeover = this.takeovers.get(worker)
    if (takeover !== undefined) takeover.tasksCounted = true
  }

  /** @param id - identifier of the hold to release */
  releaseHold (id: string): void {
    this.checkLease()
    this.publish(this.admission.releaseHold(id, this.now))
    this.outbox.flush()
  }

  /**
   * @param worker - identifier of a worker
   * @returns free resources there
   */
  free (worker: string): Resources {
    return this.admission.free(worker)
  }

  /** @returns status for operators */
  status (): { workers: Array<{ worker: string, free: Resources, confirmed: boolean }>, load: Load, lapsedFor: number, books: AdmissionStatus } {
    const workers = [...this.owned.keys()].map(worker => ({
      worker,
      free: this.admission.free(worker),
      confirmed: !this.takeovers.has(worker)
    }))
    const lapsedFor = this.leaseLapsedAt === null ? 0 : this.now - this.leaseLapsedAt
    return { workers, load: this.load(), lapsedFor, books: this.admission.getStatus(this.now) }
  }

  private isComplete (worker: string): boolean {
    return !this.takeovers.has(worker) && this.admission.orphanCount(worker) === 0
  }

  private get now (): number {
    return this.options.clock.now()
  }

  private ask (ask: Ask, front: Incarnation): void {
    const reason = this.findRefusalReason()
    if (reason !== null) {
      const decision: Decision = { kind: 'refuse', ask, front, reason, retryAfter: NOT_OWNER_RETRY_MS, redirect: '' }
      this.publish([decision])
      return
    }
    this.publish(this.admission.ask(ask, front, this.now))
  }

  private findRefusalReason (): RefusalReason | null {
    if (this.draining) return 'draining'
    if (!this.configured || this.options.leaseLeft() <= 0) return 'not-owner'
    return null
  }

  private tick (): void {
    this.checkLease()
    this.updateOpenWorkers()
    for (const worker of this.takeovers.removeExpiredUnclaimed(this.now)) this.publish(this.admission.confirm(worker, this.now))
    this.publish(this.admission.tick(this.now, this.options.peers()))
    this.outbox.flush()
  }

  private publish (decisions: Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'grant') this.grant(decision)
      else this.publisher.refuse(decision)
    }
  }

  private grant (decision: GrantDecision): void {
    if (this.options.mayAdmit(workerResource(decision.worker))) this.publisher.grant(decision)
    else this.withdraw(decision)
  }

  private withdraw (decision: GrantDecision): void {
    const { ask, front, permit, worker, waited } = decision
    this.options.log.write(EVENTS.grantWithdrawn, { ask: ask.id, worker })
    this.admission.setOpen(worker, false)
    this.publish(this.admission.release({ permit, worker, ending: 'unsent', serviceTime: 0 }, front, this.now))
    // The worker is closed now, so the ask goes to another one or waits.
    this.ask({ ...ask, waited: ask.waited + waited, patience: Math.max(0, ask.patience - waited) }, front)
  }

  /** Closes workers that are being handed over to another owner, and reopens them when the hand-over did not happen. */
  private updateOpenWorkers (): void {
    if (!this.admission.admitting) return
    for (const worker of this.owned.keys()) this.admission.setOpen(worker, this.options.mayAdmit(workerResource(worker)))
  }

  private updateWorker (entry: Instance, version: number): void {
    if (!this.owned.has(entry.id)) this.addWorker(entry, version)
    const previous = this.owned.get(entry.id)!
    if (entry.state === 'leaving' && previous.state !== 'leaving') {
      this.options.log.write(EVENTS.workerLeaving, { worker: entry.id })
      this.admission.drainWorker(entry.id)
    }
    this.owned.set(entry.id, entry)
  }

  private addWorker (entry: Instance, version: number): void {
    const { id, address, resources, connections, dataCentre, rack } = entry
    const { assignment, log } = this.options
    const fronts = assignment().holders.map(holder => holder.incarnation)
    this.owned.set(id, { ...entry, state: 'live' })
    this.admission.addWorker({ id, address, resources, connections, dataCentre, rack }, this.now, resources)
    log.write(EVENTS.workerGained, { worker: id, version, awaiting: fronts })
    this.takeovers.start({ worker: id, version, since: this.now, fronts })
  }

  private removeWorker (worker: string, version: number): void {
    this.owned.delete(worker)
    this.takeovers.remove(worker)
    this.options.log.write(EVENTS.workerLost, { worker, version })
    this.publish(this.admission.removeWorker(worker, this.now))
  }

  private finishTakeover (takeover: Takeover, requests: number): void {
    const { worker, since } = takeover.options
    const permits = this.admission.permitCount(worker)
    const unknown = Math.max(0, requests - permits)
    this.takeovers.finish(worker, unknown > 0 ? this.now + this.longestBound + PERMIT_VALIDITY_MS : null)
    this.options.log.write(EVENTS.workerConfirmed, { worker, after: this.now - since, permits, unknown })
    this.publish(this.admission.confirm(worker, this.now, unknown))
    this.outbox.flush()
  }

  private checkLease (): void {
    this.admission.admitting = this.options.leaseLeft() > 0
    if (this.admission.admitting) this.handleLeaseRenewal()
    else this.handleLeaseLapse()
  }

  private handleLeaseLapse (): void {
    if (this.leaseLapsedAt !== null || this.owned.size === 0) return
    this.leaseLapsedAt = this.now
    const waiting = this.load().waiting.reduce((sum, entry) => sum + entry.count, 0)
    this.options.log.write(EVENTS.leaseLapsed, { version: this.options.assignment().version, waiting })
  }

  private handleLeaseRenewal (): void {
    if (this.leaseLapsedAt === null) return
    const paused = this.now - this.leaseLapsedAt
    this.leaseLapsedAt = null
    this.options.log.write(EVENTS.leaseRenewed, { version: this.options.assignment().version, paused })
  }
}

function readUsage (report: WorkerReport): WorkerUsage {
  const running = report.tasks.filter(task => task.state === 'running')
  const tasks = running.reduce((sum, task) => addResources(sum, task.usage), NO_RESOURCES)
  return { requests: report.requests, lag: report.lag, tasks }
}
