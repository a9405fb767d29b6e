import type { Address, Clock, Incarnation, Random, Timer } from '@rattanstep/core'
import { Dispatcher, Front } from '@rattanstep/front'
import type { GrpcNetwork } from '@rattanstep/peer'
import type { ResolvedSettings } from '@rattanstep/rules'
import { Metrics } from '@rattanstep/telemetry'
import type { Log } from '@rattanstep/telemetry'
import { calculateConnectionShare } from '../runtime/calculateConnectionShare.js'
import { Lifecycle } from '../runtime/Lifecycle.js'
import { Member } from '../runtime/Member.js'
import { buildStatusReport } from '../runtime/buildStatusReport.js'
import { EVENTS } from '../types/events.js'
import type { Platform } from '../types/NodeOptions.js'
import type { NodeState, StatusReport } from '../types/StatusReport.js'
import { ControlApi } from './ControlApi.js'
import { JobsApi } from './JobsApi.js'

const STATE_CHECK_INTERVAL_MS = 100

/** Time in which the load balancer and the other nodes notice a planned stop. */
const DEREGISTRATION_DELAY_MS = 2000

/** Addresses that a running node listens on. */
export interface NodeAddresses {
  front: Address
  peer: Address
  control: Address
}

/** Dependencies that `startNode` passes to a node. */
export interface NodeDependencies {
  settings: ResolvedSettings
  platform: Platform
  incarnation: Incarnation
  network: GrpcNetwork
  /** Address that the network listens on. */
  peer: Address
  clock: Clock
  random: Random
  log: Log
  /** Rules text that applies while the table holds none. */
  rules: string
}

/** One node: a member of the cell together with its sockets for callers, operators and other nodes. */
export class Node {
  readonly incarnation: Incarnation
  private readonly metrics = new Metrics()
  private readonly lifecycle: Lifecycle
  private readonly member: Member
  private readonly control: ControlApi
  private readonly startedAt: number
  private readonly boundAddresses: NodeAddresses
  private readonly servingWaiters: Array<() => void> = []
  private front: Front | null = null
  private stateTimer: Timer | null = null
  private drainPromise: Promise<void> | null = null

  /** @param dependencies - settings, platform, network, clock and random source */
  constructor (private readonly dependencies: NodeDependencies) {
    const { settings, clock, log, incarnation, peer } = dependencies
    const { metrics } = this
    const { cell, dataCentre } = settings
    this.incarnation = incarnation
    this.startedAt = clock.now()
    this.boundAddresses = { front: settings.front, peer, control: settings.control }
    this.lifecycle = new Lifecycle(log)
    this.member = new Member({ ...dependencies, metrics, cell, dataCentre })
    this.control = this.makeControl()
  }

  /** @returns the current state */
  get state (): NodeState {
    return this.lifecycle.state
  }

  /** @returns addresses that the node listens on */
  get addresses (): NodeAddresses {
    return this.boundAddresses
  }

  /** Starts the node. It serves callers as soon as it knows the rules and an owner of workers. */
  async start (): Promise<void> {
    const { clock, log } = this.dependencies
    this.boundAddresses.control = await this.control.listen()
    const { control, peer } = this.boundAddresses
    log.write(EVENTS.listening, { control: formatAddress(control), peer: formatAddress(peer) })
    this.discoverSeeds()
    this.stateTimer = clock.repeat(STATE_CHECK_INTERVAL_MS, () => { this.updateState() })
    await this.member.start()
    this.updateState()
  }

  /** Resolves once the node serves callers. */
  async whenServing (): Promise<void> {
    if (this.state === 'serving') return
    await new Promise<void>(resolve => { this.servingWaiters.push(resolve) })
  }

  /** Planned stop: hands over what the node owns, waits for the requests in flight, then stops. */
  async drain (): Promise<void> {
    this.drainPromise ??= this.runDrain()
    await this.drainPromise
  }

  /** Stops immediately, without handing anything over. */
  async stop (): Promise<void> {
    if (!this.lifecycle.transition('stop')) return
    this.stateTimer?.cancel()
    this.member.stop()
    await this.front?.close()
    this.control.close()
    this.dependencies.network.close()
  }

  /** @returns the status report shown to operators */
  status (): StatusReport {
    const { settings, clock } = this.dependencies
    return buildStatusReport({
      settings,
      member: this.member,
      incarnation: this.incarnation,
      state: this.state,
      uptime: clock.now() - this.startedAt,
      front: { address: formatAddress(this.boundAddresses.front), inFlight: this.front?.inFlight ?? 0 },
      metrics: this.metrics.snapshot()
    })
  }

  private makeFront (): Front {
    const { settings, clock, random, log, incarnation } = this.dependencies
    const { metrics, member } = this
    const connectionsFor = (worker: string): number =>
      calculateConnectionShare(member.fleet.find(worker), member.assignment.holders.length)
    return new Front({
      address: settings.front,
      rules: () => member.configuration.value.rules,
      permits: member.permits,
      keys: member.keys,
      dispatcher: new Dispatcher({ clock, log, metrics, connectionsFor }),
      clock,
      random,
      log,
      metrics,
      nodeId: incarnation
    })
  }

  private makeControl (): ControlApi {
    const { settings, log } = this.dependencies
    return new ControlApi({
      address: settings.control,
      secret: settings.secret,
      log,
      configuration: this.member.configuration,
      jobs: new JobsApi(this.member.jobs),
      status: () => this.status(),
      metrics: () => this.metrics.render(),
      isAlive: () => this.state !== 'stopped',
      isReady: () => this.state === 'serving' && this.isFrontReady(),
      drain: async () => { await this.drain() }
    })
  }

  private discoverSeeds (): void {
    const { network, settings, log } = this.dependencies
    for (const seed of settings.seeds) {
      network.discover(seed, peer => {
        if (peer === this.incarnation) return
        log.write(EVENTS.seedFound, { peer })
        this.member.requestStateFrom(peer)
      })
    }
  }

  private updateState (): void {
    const { member } = this
    if (member.rules !== null && this.lifecycle.transition('rules-known')) this.openFront()
    const hasOwners = member.loads.availableOwners().length > 0
    this.lifecycle.transition(hasOwners ? 'owners-known' : 'owners-lost')
    if (this.state !== 'serving' || !this.isFrontReady()) return
    for (const waiter of this.servingWaiters.splice(0)) waiter()
  }

  private isFrontReady (): boolean {
    return this.front?.ready ?? false
  }

  private openFront (): void {
    this.front = this.makeFront()
    this.front.listen().then(address => { this.boundAddresses.front = address }, (error: unknown) => {
      this.dependencies.log.write(EVENTS.frontFailed, { error: String(error) })
      this.stop()
    })
  }

  /**
   * @param limit - maximum ms to wait
   * @returns whether everything was handed over within the limit
   */
  private async handOver (limit: number): Promise<boolean> {
    const { clock } = this.dependencies
    return await new Promise<boolean>((resolve, reject) => {
      // A running timer would keep the process alive, so it is cancelled below.
      const timer = clock.schedule(limit, () => { resolve(false) })
      this.member.handOver().then(() => { resolve(true) }, reject).finally(() => { timer.cancel() })
    })
  }

  private async runDrain (): Promise<void> {
    if (!this.lifecycle.transition('drain')) return
    const { clock, settings, log } = this.dependencies
    const startedAt = clock.now()
    const handedOver = await this.handOver(settings.drain)
    await clock.sleep(DEREGISTRATION_DELAY_MS)
    await this.front?.drain(Math.max(DEREGISTRATION_DELAY_MS, settings.drain - (clock.now() - startedAt)))
    log.write(EVENTS.drained, { after: Math.round(clock.now() - startedAt), handedOver })
    await this.stop()
  }
}

function formatAddress ({ host, port }: Address): string {
  return `${host}:${port}`
}
