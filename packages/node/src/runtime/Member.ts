import { AdmissionService } from '@rattanstep/admission'
import { Configuration } from '@rattanstep/configuration'
import type { RulesVersion } from '@rattanstep/configuration'
import { KEY_SHARDS, shardResource, workerResource } from '@rattanstep/core'
import type { Address, Assignment, Clock, Incarnation, Message, Network, Random, ResourceKey } from '@rattanstep/core'
import { KeyClient, KeyHome, PermitClient } from '@rattanstep/front'
import { Jobs } from '@rattanstep/jobs'
import { Ownership } from '@rattanstep/ownership'
import type { Log, Metrics } from '@rattanstep/telemetry'
import type { Platform } from '../types/NodeOptions.js'
import { Fleet } from './Fleet.js'
import { LoadRegistry } from './LoadRegistry.js'
import { OwnedWorkers } from './OwnedWorkers.js'
import { Preemption } from './Preemption.js'
import { AdmissionCapacity } from './AdmissionCapacity.js'
import { WorkerReportPoller } from './WorkerReportPoller.js'

const HAND_OVER_POLL_MS = 25

/** A node that left the assignment stays connected for this long, so that it can still be answered. */
const DISCONNECT_DELAY_MS = 60_000

/** Options of a member. */
export interface MemberOptions {
  incarnation: Incarnation
  cell: string
  dataCentre: string
  /** Address at which other members reach this one. */
  peer: Address
  network: Network
  platform: Platform
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  /** Rules text that applies while the table holds none. */
  rules: string
}

/**
 * The part of a node that works with other nodes: ownership, admission, permits, jobs and rules. It wires them together
 * and dispatches messages to them. It opens no sockets.
 */
export class Member {
  readonly fleet: Fleet
  readonly configuration: Configuration
  readonly ownership: Ownership
  readonly admission: AdmissionService
  readonly loads: LoadRegistry
  readonly reportPoller: WorkerReportPoller
  readonly permits: PermitClient
  readonly jobs: Jobs
  readonly keys: KeyClient
  private readonly keyHome: KeyHome
  private readonly ownedWorkers: OwnedWorkers
  private readonly preemption: Preemption
  private stopped = false

  /** @param options - network, platform, clock and random source */
  constructor (private readonly options: MemberOptions) {
    const { incarnation, clock, log, platform } = options
    this.fleet = new Fleet({ instances: platform.instances, clock, log })
    this.configuration = this.makeConfiguration()
    this.ownership = this.makeOwnership()
    this.admission = this.makeAdmission()
    this.loads = new LoadRegistry({ self: incarnation, clock, ownLoad: () => this.admission.load(), assignment: () => this.assignment })
    this.reportPoller = this.makeReportPoller()
    this.permits = this.makePermits()
    this.ownedWorkers = new OwnedWorkers({ self: incarnation, ownership: this.ownership, fleet: this.fleet })
    this.jobs = this.makeJobs()
    this.preemption = this.makePreemption()
    this.keys = this.makeKeys()
    this.keyHome = this.makeKeyHome()
    this.registerListeners()
  }

  /** @returns the latest known assignment */
  get assignment (): Assignment {
    return this.ownership.assignment
  }

  /** Starts all parts. Succeeds even if the platform is down. */
  async start (): Promise<void> {
    this.options.network.setReceiver((from, message) => { this.receive(from, message) })
    await Promise.all([this.fleet.start(), this.configuration.start()])
    await this.ownership.start()
    this.admission.start()
    this.permits.start()
    this.keyHome.start()
    this.reportPoller.start()
    this.jobs.start()
    this.preemption.start()
  }

  /** Stops all parts immediately, without handing anything over. */
  stop (): void {
    this.stopped = true
    this.fleet.stop()
    this.configuration.stop()
    this.preemption.stop()
    this.jobs.stop()
    this.reportPoller.stop()
    this.permits.stop()
    this.keys.stop()
    this.keyHome.stop()
    this.admission.stop()
    this.ownership.stop()
  }

  /**
   * Requests the assignment and, if none are known, the rules from another node.
   *
   * @param peer - the node to ask
   */
  requestStateFrom (peer: Incarnation): void {
    this.options.network.send(peer, { kind: 'fetch', what: 'assignment' })
    if (!this.configuration.isReady) this.configuration.requestRules(peer)
  }

  /** Stops admitting work and hands over what this member owns, including the idempotency keys that it stores. */
  async handOver (): Promise<void> {
    this.admission.drain()
    const ownershipDrained = this.ownership.drain()
    // A single node remains the only voter, because no other node could take over.
    if (this.ownership.peers().length === 0) return
    await ownershipDrained
    while (!this.keyHome.isHandedOver && !this.stopped) await this.options.clock.sleep(HAND_OVER_POLL_MS)
  }

  /** @returns the rules in force, or `null` if none are known yet */
  get rules (): RulesVersion | null {
    return this.configuration.isReady ? this.configuration.value : null
  }

  private makeConfiguration (): Configuration {
    const { platform, network, clock, random, log, rules, incarnation, cell } = this.options
    const { table } = platform
    return new Configuration({ cell, self: incarnation, table, network, clock, random, log, defaults: rules })
  }

  private makeOwnership (): Ownership {
    const { platform, network, clock, random, log, incarnation, peer, cell, dataCentre } = this.options
    return new Ownership({
      self: { incarnation, dataCentre, peer, draining: false },
      cell,
      network,
      table: platform.table,
      clock,
      random,
      log,
      instances: () => this.fleet.all(),
      resources: () => this.resources(),
      load: () => this.admission.load(),
      rulesVersion: () => this.configuration.version
    })
  }

  private makeAdmission (): AdmissionService {
    const { network, clock, random, log, metrics, incarnation } = this.options
    return new AdmissionService({
      self: incarnation,
      network,
      clock,
      random,
      log,
      metrics,
      assignment: () => this.assignment,
      mayAdmit: resource => this.ownership.canAdmit(resource),
      leaseLeft: () => this.ownership.leaseLeft(),
      peers: () => this.loads.availablePeers(),
      instance: worker => this.fleet.find(worker)
    })
  }

  private makeReportPoller (): WorkerReportPoller {
    const { platform, clock, log } = this.options
    return new WorkerReportPoller({
      workers: platform.workers,
      clock,
      log,
      owned: () => this.admission.ownedWorkers(),
      onReport: report => { this.admission.handleReport(report) }
    })
  }

  private makePermits (): PermitClient {
    const { network, clock, random, log, metrics, incarnation, dataCentre } = this.options
    return new PermitClient({
      self: incarnation,
      network,
      clock,
      random,
      log,
      metrics,
      owners: () => this.loads.availableOwners(),
      priorityOf: name => this.rules?.rules.classes.find(entry => entry.name === name)?.priority ?? 0,
      assignment: () => this.assignment,
      dataCentre
    })
  }

  private makeJobs (): Jobs {
    const { platform, network, clock, random, log, incarnation } = this.options
    return new Jobs({
      self: incarnation,
      ...platform,
      network,
      clock,
      random,
      log,
      ownership: this.ownedWorkers,
      capacity: new AdmissionCapacity(this.admission),
      holders: () => this.assignment.holders.map(holder => holder.incarnation),
      classes: () => this.rules?.rules.classes ?? []
    })
  }

  private makePreemption (): Preemption {
    const { clock, log } = this.options
    return new Preemption({
      clock,
      log,
      pressure: () => this.admission.preemptionDemand(),
      classes: () => this.rules?.rules.classes ?? [],
      workers: () => this.ownedWorkers.ownedWorkers(),
      vacate: async (worker, choose) => await this.jobs.vacate(worker, choose)
    })
  }

  private makeKeys (): KeyClient {
    const { network, clock, log, metrics, incarnation } = this.options
    const ownerOf = (resource: ResourceKey): Incarnation | null => this.ownership.ownerOf(resource)
    return new KeyClient({ self: incarnation, network, clock, log, metrics, ownerOf })
  }

  private makeKeyHome (): KeyHome {
    const { network, clock, log, metrics, incarnation } = this.options
    const mayAdmit = (resource: ResourceKey): boolean => this.ownership.canAdmit(resource)
    return new KeyHome({ self: incarnation, network, clock, log, metrics, mayAdmit })
  }

  private registerListeners (): void {
    this.configuration.onChange(({ rules }) => { this.admission.configure(rules) })
    this.fleet.onUpdate(() => {
      this.admission.updateWorkers()
      this.ownedWorkers.update()
    })
    this.ownership.onChange((assignment, previous) => { this.applyAssignment(assignment, previous) })
    this.ownership.onHeartbeat((from, heartbeat) => {
      this.configuration.handlePeerVersion(from, heartbeat.rules)
      if (heartbeat.load !== null) this.loads.update(from, heartbeat.load)
    })
  }

  private applyAssignment (assignment: Assignment, previous: Assignment): void {
    const { network } = this.options
    const present = new Set(assignment.holders.map(holder => holder.incarnation))
    for (const { incarnation, peer } of assignment.holders) network.addPeer(incarnation, peer)
    this.admission.handleAssignmentChange(assignment, previous)
    this.ownedWorkers.update()
    this.permits.assignmentChanged(assignment, previous)
    this.keyHome.assignmentChanged(assignment, previous)
    this.loads.prune()
    for (const { incarnation } of previous.holders) {
      if (!present.has(incarnation)) this.scheduleForget(incarnation)
    }
  }

  private scheduleForget (incarnation: Incarnation): void {
    const { clock, network } = this.options
    clock.schedule(DISCONNECT_DELAY_MS, () => {
      const hasReturned = this.assignment.holders.some(holder => holder.incarnation === incarnation)
      if (!hasReturned) network.removePeer(incarnation)
    })
  }

  private receive (from: Incarnation, message: Message): void {
    if (this.stopped) return
    if (message.kind === 'job') {
      this.jobs.receive(from, message)
      return
    }
    const receivers = [this.ownership, this.admission, this.permits, this.keys, this.keyHome, this.configuration]
    for (const receiver of receivers) {
      if (receiver.receive(from, message)) return
    }
  }

  private resources (): ResourceKey[] {
    const workers = this.fleet.workers().map(worker => workerResource(worker.id))
    const shards = Array.from({ length: KEY_SHARDS }, (_, shard) => shardResource(shard))
    return [...workers, ...shards]
  }
}
