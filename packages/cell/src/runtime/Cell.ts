import { SystemRandom } from '@rattanstep/core'
import type { Clock, Timer } from '@rattanstep/core'
import { Metrics } from '@rattanstep/telemetry'
import type { Log } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import type { Configuration } from '../types/configuration.js'
import type { RecordedJob } from '../types/job.js'
import { LEASE_MS, LINK_TIMEOUT_MS, STORE_ADVANTAGE_MS, STORE_REFUSAL_TIMEOUT_MS, STORE_TIMEOUT_MS } from '../types/limits.js'
import type { ExplainQuery } from '../types/explain.js'
import type { Answer, ExplanationAnswer, Question } from '../types/links.js'
import type { Advice, Advisor, RowReader, WorkerClient } from '../types/ports.js'
import type { RecordStore } from '../types/records.js'
import { OpenJobGate } from '../openJobs/OpenJobGate.js'
import type { ReceivedOpenJobs } from '../openJobs/OpenJobGate.js'
import { AdmissionGate } from './AdmissionGate.js'
import type { ReceivedBacklog } from './AdmissionGate.js'
import { BoundedStore } from './BoundedStore.js'
import { BoundedWorkerClient } from './BoundedWorkerClient.js'
import { ConfigurationFeed } from './ConfigurationFeed.js'
import { ConfigurationSync } from './ConfigurationSync.js'
import { Decider } from './Decider.js'
import { DelegatingWorkerClient } from './DelegatingWorkerClient.js'
import { detach } from './detach.js'
import { executeWorkerCall } from './executeWorkerCall.js'
import { DeciderClient, Gateway } from './Gateway.js'
import type { WaitingLimits, WriteRequest } from './Gateway.js'
import type { WriteOutcome } from './SubmissionWriter.js'
import type { DeciderConnector, Follower } from './Follower.js'
import { Followers } from './Followers.js'
import type { FollowerLink } from './Followers.js'
import { InstrumentedWorkerClient } from './InstrumentedWorkerClient.js'
import { Membership } from './Membership.js'
import type { Term } from './Term.js'

/** Interval at which a decider checks whether the store answers it and whether a stronger follower exists. */
const STORE_CHECK_INTERVAL_MS = 150
/** Time for a nominated successor to claim the term before the next one is nominated. */
const SUCCESSION_TIMEOUT_MS = 400
/** Minimum ratio of a follower's strength to the decider's for a hand-over in normal operation, because a hand-over briefly interrupts deciding. */
const HANDOVER_STRENGTH_RATIO = 1.8
/** Minimum time since the last offer of the term, for whatever reason, before the term is offered to a stronger follower. */
const YIELD_INTERVAL_MS = 1000
/** Part of a forwarded write's timeout that is reserved for the transfer of the request and its outcome. */
const FORWARD_RESERVE_MS = 30
/** Store silence at the decider up to which followers rely on it for writes; the same limit as `MAX_STORE_SILENCE_MS` of the gateway. */
const MAX_DECIDER_STORE_SILENCE_MS = 1800
/** Interval at which a stopping node checks whether the hand-over is done. */
const SUCCESSION_POLL_INTERVAL_MS = 10

/** Time for which an answer of the decider to an operator is awaited. */
const EXPLANATION_TIMEOUT_MS = 1000

/** Bounds of what open jobs may take at the decider. */
export interface OpenJobLimits {
  /** Bytes of all open jobs, as estimated by `weighJob`. */
  openJobBytes: number
  /** Number of objects of tasks that have been placed. */
  openTasks: number
  /** Number of orders to start that may be in flight. */
  startOrders: number
  /** Number of ids of accepted jobs for which there is no room. */
  deferredJobs: number
}

/** Options of a member of the cell. */
export interface CellOptions {
  node: string
  dataCentre: string
  /** Suitability of this instance as decider; see `CellSettings.strength`. */
  strength: number
  /** `HOST:PORT` at which other nodes reach this one. */
  address: string
  /** ms for which the phases of ended jobs are kept. */
  retention: number
  /** Longest lease that workers accept, in ms. */
  leaseMax: number
  /** Whether runs are stopped for more urgent work even if the configuration names no organisations; not by default. */
  preempts?: boolean
  /** Whether nodes refuse jobs that would end too late to be of use even if the configuration names no organisations; not by default. */
  refuses?: boolean
  store: RecordStore
  workers: WorkerClient
  advisor: Advisor
  reader: RowReader
  connector: DeciderConnector
  readConfiguration: (value: string) => Result<Configuration, string>
  clock: Clock
  log: Log
  /** Receives the answer times of workers, the durations of the parts of a round and the intervals between heartbeats; by default, they are dropped. */
  metrics?: Metrics
  /** Numbers of callers' requests that may wait, and what open jobs may take; by default, there is no bound. */
  limits?: WaitingLimits & Partial<OpenJobLimits>
  /** Called when a request is refused because too many wait or there is no room for its job, and when a job must wait in the store. */
  onLimit?: (limit: keyof WaitingLimits | keyof OpenJobLimits) => void
}

/** One member of the cell, without its sockets: gateway for callers, follower and, while it holds the term, decider. */
export class Cell extends DeciderClient {
  readonly gateway: Gateway
  readonly admission: AdmissionGate
  readonly openJobGate: OpenJobGate
  private readonly configurationFeed: ConfigurationFeed
  private readonly configurationSync: ConfigurationSync
  private readonly membership: Membership
  private decider: Decider | undefined
  private followers: Followers | undefined
  private checkTimer: Timer | undefined
  private offerCount = 0
  private lastOfferAt = 0
  /** Monotonic ms of the last check of the store's silence. */
  private storeCheckedAt = 0
  /** ms by which these checks were late since the store last answered: answers may wait to be read. */
  private ownDelay = 0
  private readonly options: CellOptions

  constructor (options: CellOptions) {
    super()
    const { clock, log, advisor } = options
    const store = new BoundedStore({ store: options.store, clock, log })
    this.options = { ...options, store }
    this.configurationFeed = new ConfigurationFeed({ store, clock, log, parse: options.readConfiguration })
    this.configurationSync = new ConfigurationSync({ feed: this.configurationFeed, store, clock, log })
    this.admission = new AdmissionGate({ clock, log, random: new SystemRandom(), lastReport: () => this.lastBacklog() })
    this.openJobGate = new OpenJobGate({ clock, log, random: new SystemRandom(), limit: options.limits?.openJobBytes ?? Infinity, lastReport: () => this.lastOpenJobs(), onRefusal: () => { options.onLimit?.('openJobBytes') } })
    this.gateway = new Gateway({ store, clock, decider: this, admission: this.admission, openJobGate: this.openJobGate, limits: options.limits, onLimit: options.onLimit })
    this.membership = new Membership({
      store,
      connector: options.connector,
      clock,
      log,
      metrics: options.metrics,
      node: options.node,
      dataCentre: options.dataCentre,
      strength: options.strength,
      openJobLimit: options.limits?.openJobBytes,
      start: String(clock.wall()),
      address: options.address,
      follower: {
        advise: async question => await advisor.advise(question),
        execute: async call => await executeWorkerCall(options.workers, call),
        onConfigurationVersion: (announced, send) => { this.configurationSync.handleVersion(announced, send) },
        onConfigurationMessage: (message, send) => { this.configurationSync.handleMessage(message, 'decider', send) },
        configurationVersion: () => this.configurationFeed.currentVersion
      },
      decide: async (term, version) => { await this.decide(term, version) }
    })
  }

  /** @returns the configuration in force */
  get configuration (): Configuration | undefined {
    return this.configurationFeed.current
  }

  /** @returns whether a key that the configuration in force does not name may be refused for good, see `ConfigurationSync.isConfirmed` */
  get isConfigurationConfirmed (): boolean {
    return this.configurationSync.isConfirmed
  }

  /** @returns where this node got the configuration in force */
  get configurationSource (): 'store' | 'link' | undefined {
    return this.configurationFeed.source
  }

  /** @returns ms since the store or the decider confirmed that no newer configuration exists */
  get configurationAge (): number {
    return this.configurationSync.confirmationAge
  }

  /** @returns whether this node can serve callers */
  get isReady (): boolean {
    if (this.configuration === undefined) return false
    if (this.decider !== undefined) return this.gateway.isStoreReachable
    const { follower } = this.membership
    return follower !== undefined && (this.gateway.isStoreReachable || (!follower.isSilent && follower.deciderStoreSilence < MAX_DECIDER_STORE_SILENCE_MS))
  }

  /** @returns the decider, while this node holds the term */
  get activeDecider (): Decider | undefined {
    return this.decider
  }

  /** Starts to follow the configuration and joins the cell. */
  start (): void {
    const { log } = this.options
    detach(this.configurationFeed.start(), log, 'configuration')
    detach(this.membership.run(), log, 'membership')
  }

  /**
   * Stops claiming the term, and hands it over if this node holds it.
   *
   * @param timeout - ms after which no further successor is nominated
   */
  async handOver (timeout: number): Promise<void> {
    const { clock } = this.options
    this.membership.stopClaiming()
    const deadline = clock.now() + timeout
    for (let attempt = 0; this.decider !== undefined && clock.now() < deadline; attempt++) {
      this.decider.pausePlacement()
      this.decider.noteOffer()
      if (this.followers?.nominateSuccessor('stopping', attempt) === undefined) return
      const retryAt = clock.now() + SUCCESSION_TIMEOUT_MS
      while (this.decider !== undefined && clock.now() < retryAt) await clock.sleep(SUCCESSION_POLL_INTERVAL_MS)
    }
  }

  /** Leaves the cell. */
  stop (): void {
    this.configurationFeed.stop()
    this.membership.stop()
    this.decider?.stop()
    this.checkTimer?.cancel()
    this.followers?.close()
  }

  /** Accepts a link from another node, which joins as a follower if this node is the decider. */
  acceptLink (link: FollowerLink): void {
    link.onMessage = message => {
      if (message.kind === 'claimed') {
        this.membership.handleClaim(message)
        link.close()
      } else if (message.kind === 'hello' && this.followers !== undefined) this.followers.add(link, message)
      else link.send({ kind: 'elsewhere' })
    }
  }

  override async query (question: Question, timeout: number): Promise<Answer | undefined> {
    if (this.decider !== undefined) return this.decider.isReady ? await this.decider.answer(question) : undefined
    return await this.responsiveFollower?.ask(question, timeout)
  }

  /**
   * Asks the decider where a job would go now, and why.
   *
   * @param query - the job
   * @returns the answer, or `undefined` if no decider has given one in time; deciders of an earlier version of the program can't
   */
  async explain (query: ExplainQuery): Promise<ExplanationAnswer | undefined> {
    const answer = await this.query({ about: 'explanation', query }, EXPLANATION_TIMEOUT_MS)
    return answer?.about === 'explanation' ? answer : undefined
  }

  override announceJob (recorded: RecordedJob): void {
    if (this.decider === undefined) this.membership.follower?.sendJob(recorded)
    else if (this.decider.isReady) this.decider.addJob(recorded, 'link')
  }

  override announceCancellation (id: string): void {
    if (this.decider === undefined) this.membership.follower?.sendCancellation(id)
    else this.decider.cancel(id)
  }

  override async forwardWrite (request: WriteRequest, deadline: number): Promise<WriteOutcome | undefined> {
    if (this.decider !== undefined) return undefined
    return await this.responsiveFollower?.forwardWrite(request, deadline - this.options.clock.now())
  }

  /** The link to the decider, unless that has been silent for too long: the store answers sooner then. */
  private get responsiveFollower (): Follower | undefined {
    const { follower } = this.membership
    return follower?.isSilent === true ? undefined : follower
  }

  private async decide (term: Term, version: number): Promise<void> {
    const { store, workers, reader, clock, log, metrics = new Metrics(), node, advisor, retention, leaseMax, limits, preempts = false, refuses = false } = this.options
    let resolveTermLost!: () => void
    const termLost = new Promise<void>(resolve => { resolveTermLost = resolve })
    const followers: Followers = new Followers({
      clock,
      log,
      fence: term.fence,
      expected: this.membership.formerMembers,
      callbacks: {
        onJob: recorded => { if (decider.isReady) decider.addJob(recorded, 'link') },
        onCancel: id => { decider.cancel(id) },
        answer: async question => decider.isReady ? await decider.answer(question) : unknownAnswer(question),
        configurationVersion: () => this.configurationFeed.currentVersion,
        configurationConfirmedAt: () => this.configurationSync.confirmedAt,
        onConfigurationVersion: (announced, send) => { this.configurationSync.handleVersion(announced, send) },
        onConfigurationMessage: (message, from, send) => { this.configurationSync.handleMessage(message, from, send) },
        onNewerTerm: () => { decider.confirmTerm() },
        write: async (request, timeout) => await this.gateway.write(request, clock.now() + timeout - FORWARD_RESERVE_MS),
        storeSilence: () => store.silentFor(),
        confirmationInterval: () => decider.confirmationInterval,
        backlog: () => decider.backlog,
        openJobs: () => decider.openJobReport
      }
    })
    const decider: Decider = new Decider({
      store,
      workers: new InstrumentedWorkerClient({
        workers: new BoundedWorkerClient({
          workers: new DelegatingWorkerClient({
            direct: workers,
            clock,
            executors: () => followers.executors,
            execute: async (executor, call, timeout) => await followers.execute(executor, call, timeout)
          }),
          clock,
          log
        }),
        clock,
        metrics
      }),
      reader,
      clock,
      log,
      metrics,
      term,
      termRowVersion: version,
      configuration: () => this.configuration,
      advisorNodes: () => [node, ...followers.nodes],
      askAdvice: async (asker, question): Promise<Advice> => asker === node ? await advisor.advise(question) : await followers.ask(asker, question),
      isStoreLostForAll: () => followers.isStoreLostForAll(),
      onTermLost: resolveTermLost,
      openJobLimit: () => Math.min(limits?.openJobBytes ?? Infinity, followers.smallestOpenJobLimit),
      maxDeferred: limits?.deferredJobs,
      maxOpenTasks: limits?.openTasks,
      maxStartOrders: limits?.startOrders,
      onOpenWorkLimit: limit => { this.options.onLimit?.(limit) },
      maxWaitingQueries: limits?.waitingQueries,
      onTooManyQueries: () => { this.options.onLimit?.('waitingQueries') },
      retention,
      lease: Math.min(LEASE_MS, leaseMax),
      leaseMax,
      preempts,
      refuses
    })
    this.decider = decider
    this.followers = followers
    this.storeCheckedAt = clock.now()
    this.checkTimer = clock.repeat(STORE_CHECK_INTERVAL_MS, () => {
      this.offerTerm(decider)
      this.yieldToStronger(decider)
    })
    detach(decider.start(), log, 'decider')
    detach(this.membership.announceClaim(term.fence), log, 'announcement of the term')
    await termLost
    this.checkTimer.cancel()
    this.decider = undefined
    this.followers = undefined
    followers.close()
  }

  /**
   * Offers the term to a follower that the store answers while it doesn't answer this decider. If the store is slow for all nodes, no
   * follower is eligible and this node keeps the term.
   */
  private offerTerm (decider: Decider): void {
    const { clock, store } = this.options
    const now = clock.now()
    const storeSilence = this.subtractOwnDelay(Math.min(store.silentFor(), now - decider.confirmedAt), now)
    const isRefused = store.failingFor() >= STORE_REFUSAL_TIMEOUT_MS
    if ((storeSilence < STORE_TIMEOUT_MS && !isRefused) || now - this.lastOfferAt < LINK_TIMEOUT_MS) return
    this.lastOfferAt = now
    const successor = this.followers?.nominateSuccessor('store-unreachable', this.offerCount++, isRefused ? undefined : storeSilence - STORE_ADVANTAGE_MS)
    if (successor !== undefined) decider.noteOffer()
  }

  /** @returns the part of the store's silence in ms during which this process could have read an answer */
  private subtractOwnDelay (storeSilence: number, now: number): number {
    const elapsed = now - this.storeCheckedAt
    this.storeCheckedAt = now
    if (storeSilence < elapsed) this.ownDelay = 0
    this.ownDelay += Math.max(0, elapsed - STORE_CHECK_INTERVAL_MS)
    return Math.max(0, storeSilence - this.ownDelay)
  }

  /** Hands the term over to a much stronger follower, if there is one. */
  private yieldToStronger (decider: Decider): void {
    const { clock, strength } = this.options
    const now = clock.now()
    if (!decider.isReady || this.followers === undefined || now - this.lastOfferAt < YIELD_INTERVAL_MS) return
    if (this.followers.maxStrength < HANDOVER_STRENGTH_RATIO * strength) return
    this.lastOfferAt = now
    decider.noteOffer()
    this.followers.nominateSuccessor('stronger', 0)
  }

  /** @returns the backlog of this node's decider, or as the decider that it follows has last reported it */
  private lastBacklog (): ReceivedBacklog | undefined {
    if (this.decider === undefined) return this.membership.follower?.backlog
    const report = this.decider.backlog
    return report === undefined ? undefined : { report, at: this.options.clock.now() }
  }

  /** @returns what the open jobs take, by this node's decider or the last word of the decider that it follows */
  private lastOpenJobs (): ReceivedOpenJobs | undefined {
    if (this.decider === undefined) return this.membership.follower?.openJobs
    return this.decider.isReady ? { report: this.decider.openJobReport, at: this.options.clock.now() } : undefined
  }
}

/** @returns the answer of a decider that has not read the records yet */
function unknownAnswer (question: Question): Answer {
  if (question.about === 'explanation') return { about: 'explanation', problem: 'not-ready' }
  return question.about === 'job' ? { about: 'job', phase: 'unknown' } : { about: 'queue', waiting: -1 }
}
