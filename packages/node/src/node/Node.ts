import { AdmissionService } from '@rattanstep/admission'
import { Configuration } from '@rattanstep/configuration'
import { KEY_SHARDS, shardResource, workerResource } from '@rattanstep/core'
import type { Address, Assignment, Clock, Incarnation, Message, Random, ResourceKey, Timer } from '@rattanstep/core'
import { Dispatcher, Front, OwnerPermits } from '@rattanstep/front'
import { Ownership } from '@rattanstep/ownership'
import type { GrpcNetwork } from '@rattanstep/peer'
import type { ResolvedSettings } from '@rattanstep/rules'
import { Metrics } from '@rattanstep/telemetry'
import type { Log } from '@rattanstep/telemetry'
import { connectionShare } from '../runtime/connectionShare.js'
import { findProblems } from '../runtime/findProblems.js'
import { Fleet } from '../runtime/Fleet.js'
import { Lifecycle } from '../runtime/Lifecycle.js'
import { LoadBoard } from '../runtime/LoadBoard.js'
import { reportClasses } from '../runtime/reportStatus.js'
import { WorkerReports } from '../runtime/WorkerReports.js'
import { EVENTS } from '../types/events.js'
import type { Platform } from '../types/NodeOptions.js'
import type { NodeState, StatusReport } from '../types/StatusReport.js'
import { ControlApi } from './ControlApi.js'
import { JobsApi } from './JobsApi.js'
import { NoKeys } from './NoKeys.js'

/** Milliseconds between looks at whether the node can serve. */
const LOOK_MS = 100

/** Milliseconds in which the balancer and the other nodes notice a planned stop. */
const NOTICE_MS = 500

/** Where a running node listens. */
export interface NodeAddresses {
  front: Address
  peer: Address
  control: Address
}

/** What `startNode` hands to a node. */
export interface NodeParts {
  settings: ResolvedSettings
  platform: Platform
  incarnation: Incarnation
  network: GrpcNetwork
  /** Where the network listens. */
  peer: Address
  clock: Clock
  random: Random
  log: Log
  /** Operators' text in force while the table has none. */
  rules: string
}

/** One node: front, admission, ownership and configuration, joined by messages. */
export class Node {
  readonly incarnation: Incarnation
  private readonly metrics = new Metrics()
  private readonly lifecycle: Lifecycle
  private readonly fleet: Fleet
  private readonly configuration: Configuration
  private readonly ownership: Ownership
  private readonly admission: AdmissionService
  private readonly loads: LoadBoard
  private readonly reports: WorkerReports
  private readonly permits: OwnerPermits
  private front: Front | null = null
  private readonly control: ControlApi
  private readonly startedAt: number
  private readonly listening: NodeAddresses
  private readonly waiters: Array<() => void> = []
  private looking: Timer | null = null
  private drained: Promise<void> | null = null

  /** @param parts - settings, platform, network and sources of time and randomness */
  constructor (private readonly parts: NodeParts) {
    const { settings, clock, log, incarnation } = parts
    this.incarnation = incarnation
    this.startedAt = clock.now()
    this.listening = { front: settings.front, peer: parts.peer, control: settings.control }
    this.lifecycle = new Lifecycle(log)
    this.fleet = new Fleet({ instances: parts.platform.instances, clock, log })
    this.configuration = this.makeConfiguration()
    this.ownership = this.makeOwnership()
    this.admission = this.makeAdmission()
    this.loads = new LoadBoard({ self: incarnation, clock, own: () => this.admission.load(), assignment: () => this.assignment })
    this.reports = this.makeReports()
    this.permits = this.makePermits()
    this.control = this.makeControl()
  }

  /** @returns state of the node's life */
  get state (): NodeState {
    return this.lifecycle.state
  }

  /** @returns where the node listens */
  get addresses (): NodeAddresses {
    return this.listening
  }

  /** Starts everything. The node serves as soon as it knows the rules and an owner of workers. */
  async start (): Promise<void> {
    const { network, log } = this.parts
    this.connect()
    network.receive((from, message) => { this.receive(from, message) })
    this.listening.control = await this.control.listen()
    const { control, peer } = this.listening
    log.write(EVENTS.listening, { control: formatAddress(control), peer: formatAddress(peer) })
    this.findSeeds()
    this.looking = this.parts.clock.repeat(LOOK_MS, () => { this.look() })
    await Promise.all([this.fleet.start(), this.configuration.start()])
    await this.ownership.start()
    this.admission.start()
    this.permits.start()
    this.reports.start()
    this.look()
  }

  /** @returns resolves once the node serves callers */
  async whenServing (): Promise<void> {
    if (this.state === 'serving') return
    await new Promise<void>(resolve => { this.waiters.push(resolve) })
  }

  /** Planned stop: hands over what the node owns, finishes the requests in flight, then stops. */
  async drain (): Promise<void> {
    this.drained ??= this.drainOnce()
    await this.drained
  }

  /** Stops at once. */
  async stop (): Promise<void> {
    if (!this.lifecycle.step('stop')) return
    this.looking?.cancel()
    this.fleet.stop()
    this.configuration.stop()
    this.reports.stop()
    this.permits.stop()
    this.admission.stop()
    this.ownership.stop()
    await this.front?.close()
    this.control.close()
    this.parts.network.close()
  }

  /** @returns everything that operators see */
  status (): StatusReport {
    const { settings, clock } = this.parts
    const ownership = this.ownership.status()
    const admission = this.admission.status()
    const workers = this.fleet.workers()
    const rules = this.configuration.ready ? this.configuration.value.rules : null
    const problems = findProblems({
      state: this.state,
      ownership,
      lapsedFor: admission.lapsedFor,
      listLostFor: this.fleet.lostFor(),
      rulesReady: rules !== null,
      workers: workers.length,
      silentWorkers: this.reports.silent()
    })
    return {
      node: settings.id,
      incarnation: this.incarnation,
      cell: settings.cell,
      dataCentre: settings.dataCentre,
      state: this.state,
      uptime: clock.now() - this.startedAt,
      problems,
      rules: { version: this.configuration.version },
      classes: reportClasses(rules, admission.load.waiting),
      ownership,
      admission,
      fleet: {
        workers: workers.length,
        leaving: workers.filter(worker => worker.state === 'leaving').length,
        listAge: this.fleet.age()
      },
      front: { address: formatAddress(this.listening.front), inFlight: this.front?.inFlight ?? 0 },
      metrics: this.metrics.report()
    }
  }

  private get assignment (): Assignment {
    return this.ownership.assignment
  }

  private makeConfiguration (): Configuration {
    const { settings, platform, network, clock, random, log, rules, incarnation } = this.parts
    const { cell } = settings
    const { table } = platform
    return new Configuration({ cell, self: incarnation, table, network, clock, random, log, defaults: rules })
  }

  private makeOwnership (): Ownership {
    const { settings, platform, network, clock, random, log, incarnation, peer } = this.parts
    return new Ownership({
      self: { incarnation, dataCentre: settings.dataCentre, peer, draining: false },
      cell: settings.cell,
      network,
      table: platform.table,
      clock,
      random,
      log,
      instances: () => this.fleet.all(),
      resources: () => this.resources(),
      load: () => this.admission.load(),
      rules: () => this.configuration.version
    })
  }

  private makeAdmission (): AdmissionService {
    const { network, clock, random, log, incarnation } = this.parts
    return new AdmissionService({
      self: incarnation,
      network,
      clock,
      random,
      log,
      metrics: this.metrics,
      assignment: () => this.assignment,
      mayAdmit: resource => this.ownership.mayAdmit(resource),
      leaseLeft: () => this.ownership.leaseLeft(),
      instance: worker => this.fleet.find(worker)
    })
  }

  private makeReports (): WorkerReports {
    const { platform, clock, log } = this.parts
    return new WorkerReports({
      workers: platform.workers,
      clock,
      log,
      owned: () => this.admission.books(),
      onReport: report => { this.admission.reported(report) }
    })
  }

  private makePermits (): OwnerPermits {
    const { network, clock, random, log, incarnation, settings } = this.parts
    return new OwnerPermits({
      self: incarnation,
      network,
      clock,
      random,
      log,
      metrics: this.metrics,
      owners: () => this.loads.owners(),
      priorityOf: name => this.configuration.value.rules.classes.find(entry => entry.name === name)?.priority ?? 0,
      assignment: () => this.assignment,
      dataCentre: settings.dataCentre
    })
  }

  private makeFront (): Front {
    const { settings, clock, random, log, incarnation } = this.parts
    const { metrics } = this
    const connectionsFor = (worker: string): number => connectionShare(this.fleet.find(worker), this.assignment.holders.length)
    return new Front({
      address: settings.front,
      rules: () => this.configuration.value.rules,
      permits: this.permits,
      keys: new NoKeys(),
      dispatcher: new Dispatcher({ clock, log, metrics, connectionsFor }),
      clock,
      random,
      log,
      metrics,
      nodeId: incarnation
    })
  }

  private makeControl (): ControlApi {
    const { settings, log } = this.parts
    return new ControlApi({
      address: settings.control,
      secret: settings.secret,
      log,
      configuration: this.configuration,
      jobs: new JobsApi(),
      status: () => this.status(),
      metrics: () => this.metrics.render(),
      isAlive: () => this.state !== 'stopped',
      isReady: () => this.state === 'serving' && this.isFrontReady(),
      drain: async () => { await this.drain() }
    })
  }

  private connect (): void {
    this.configuration.onChange(({ rules }) => { this.admission.configure(rules) })
    this.fleet.onRead(() => { this.admission.updateWorkers() })
    this.ownership.onChange((assignment, previous) => { this.followAssignment(assignment, previous) })
    this.ownership.onHeartbeat((from, heartbeat) => {
      this.configuration.heard(from, heartbeat.rules)
      if (heartbeat.load !== null) this.loads.heard(from, heartbeat.load)
    })
  }

  private followAssignment (assignment: Assignment, previous: Assignment): void {
    const { network } = this.parts
    const present = new Set(assignment.holders.map(holder => holder.incarnation))
    for (const { incarnation, peer } of assignment.holders) network.introduce(incarnation, peer)
    this.admission.assignmentChanged(assignment, previous)
    this.permits.ownerChanged(assignment, previous)
    this.loads.prune()
    for (const { incarnation } of previous.holders) {
      if (!present.has(incarnation)) network.forget(incarnation)
    }
  }

  private receive (from: Incarnation, message: Message): void {
    if (this.state === 'stopped') return
    const receivers = [this.ownership, this.admission, this.permits, this.configuration]
    for (const receiver of receivers) {
      if (receiver.receive(from, message)) return
    }
  }

  private resources (): ResourceKey[] {
    const workers = this.fleet.workers().map(worker => workerResource(worker.id))
    const shards = Array.from({ length: KEY_SHARDS }, (_, shard) => shardResource(shard))
    return [...workers, ...shards]
  }

  private findSeeds (): void {
    const { network, settings, log } = this.parts
    for (const seed of settings.seeds) {
      network.discover(seed, peer => {
        if (peer === this.incarnation) return
        log.write(EVENTS.seedFound, { peer })
        network.send(peer, { kind: 'fetch', what: 'assignment' })
        if (!this.configuration.ready) this.configuration.fetch(peer)
      })
    }
  }

  private look (): void {
    if (this.configuration.ready && this.lifecycle.step('rules-known')) this.openFront()
    const owners = this.loads.owners().length > 0
    this.lifecycle.step(owners ? 'owners-known' : 'owners-lost')
    if (this.state !== 'serving' || !this.isFrontReady()) return
    for (const waiter of this.waiters.splice(0)) waiter()
  }

  private isFrontReady (): boolean {
    return this.front?.ready ?? false
  }

  private openFront (): void {
    this.front = this.makeFront()
    this.front.listen().then(address => { this.listening.front = address }, (error: unknown) => {
      this.parts.log.write(EVENTS.frontFailed, { error: String(error) })
      this.stop()
    })
  }

  private async drainOnce (): Promise<void> {
    if (!this.lifecycle.step('drain')) return
    const { clock, settings, log } = this.parts
    const startedAt = clock.now()
    this.admission.drain()
    const handedOver = await Promise.race([
      this.ownership.drain().then(() => true),
      clock.sleep(settings.drain).then(() => false)
    ])
    await clock.sleep(NOTICE_MS)
    await this.front?.drain(Math.max(NOTICE_MS, settings.drain - (clock.now() - startedAt)))
    log.write(EVENTS.drained, { after: Math.round(clock.now() - startedAt), handedOver })
    await this.stop()
  }
}

function formatAddress ({ host, port }: Address): string {
  return `${host}:${port}`
}
