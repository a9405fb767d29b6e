import type { Clock, Timer } from '@rattanstep/core'
import type { BacklogReport, OpenJobReport } from '@rattanstep/policy'
import type { Log } from '@rattanstep/telemetry'
import type { RecordedJob } from '../types/job.js'
import type { Answer, ConfigurationMessage, DeciderMessage, Question, SuccessionReason, FollowerMessage } from '../types/links.js'
import { CELL_EVENTS } from '../types/events.js'
import { Batch } from './Batch.js'
import type { AnnouncedVersion } from './ConfigurationSync.js'
import { CONFIRMATION_WINDOW_MS, DISTANT_HEARTBEAT_MS, IDLE_COMMIT_INTERVAL_MS, LINK_HEARTBEAT_MS, STORE_REFUSAL_TIMEOUT_MS, STORE_TIMEOUT_MS, WATCHER_COUNT } from '../types/limits.js'
import type { WorkerCall, WorkerCallResult } from '../types/execution.js'
import type { Advice } from '../types/ports.js'
import type { Executor } from './ExecutorSelection.js'
import { detach } from './detach.js'
import type { WriteRequest } from './Gateway.js'
import type { WriteOutcome } from './SubmissionWriter.js'
import type { Link } from './Link.js'
import { runLogged } from './runLogged.js'
import { scheduleTimeout } from './scheduleTimeout.js'
import { SilenceDetector } from './SilenceDetector.js'
import { findJobProblem } from './submissionRow.js'
import { WorkerCallEncoder } from './WorkerCallCodec.js'
import type { NumberedCall } from './WorkerCallCodec.js'

/** Link from the decider to a follower. */
export type FollowerLink = Link<FollowerMessage, DeciderMessage>

/** Store silence above which a follower is not eligible as successor: covers a long poll and a slow answer. */
const MAX_SUCCESSOR_STORE_SILENCE_MS = 2000

/**
 * Minimum strength of a preferred successor at a planned stop, relative to the strongest follower. A second hand-over soon after the first
 * costs more than the loss of a fifth of the processor capacity.
 */
const MIN_STRENGTH_RATIO = 0.8

/** Time after the start of a process during which it answers slowly, because its code is not yet compiled; a start takes 0.3 to 0.8 s. */
const WARM_UP_MS = 800

/** Minimum interval between two reports of the followers' addresses to a watcher; in a rolling restart, followers change every second. */
const MEMBERS_INTERVAL_MS = 1000

/** Time for which an order waits for others to the same executor, so that the decider sends fewer messages. */
const ORDER_BATCH_MS = 2

/**
 * Time for which silent followers are kept while most followers are silent. Then not they but this node is likely to be behind: on the slowest
 * links, the records that a new decider reads delay everything else by 1 to 1.5 s.
 */
const OWN_DELAY_LIMIT_MS = 2000

/** Interval between two confirmations of the term up to which followers are not told of it: usual while the decider and the store are idle. */
const USUAL_CONFIRMATION_INTERVAL_MS = 1.5 * IDLE_COMMIT_INTERVAL_MS

/** Callbacks for messages from followers. */
export interface FollowersCallbacks {
  onJob: (recorded: RecordedJob) => void
  onCancel: (id: string) => void
  answer: (question: Question) => Promise<Answer>
  /** Returns the version of the configuration in force at the decider. */
  configurationVersion: () => number
  /** Returns the ms on the store's clock at which the store confirmed to the decider that no newer version exists. */
  configurationConfirmedAt: () => number | undefined
  /** Receives the version of the configuration in force at a follower; `send` sends a message to it. */
  onConfigurationVersion: (announced: AnnouncedVersion, send: (message: ConfigurationMessage) => void) => void
  /** Receives a message of a follower about the configuration; `send` answers it. */
  onConfigurationMessage: (message: ConfigurationMessage, from: string, send: (message: ConfigurationMessage) => void) => void
  /** Writes a request to the store on behalf of a follower; `timeout` in ms. */
  write: (request: WriteRequest, timeout: number) => Promise<WriteOutcome>
  /** Returns the ms since the store last answered this node. */
  storeSilence: () => number
  /** Returns the longest time in ms between two recent confirmations of the term. */
  confirmationInterval: () => number
  /** Returns the decider's backlog, if nodes may refuse jobs by it. */
  backlog?: () => BacklogReport | undefined
  /** Returns what the open jobs take, unless that is little. */
  openJobs?: () => OpenJobReport | undefined
  /** Called when a follower knows of a newer term. */
  onNewerTerm: () => void
}

interface FollowerState {
  node: string
  dataCentre: string
  address: string
  link: FollowerLink
  /** ms between heartbeats. */
  interval: number
  /** Monotonic ms of the last heartbeat sent to the follower. */
  heartbeatAt: number
  /** The last reported members, and the monotonic ms of the report. */
  members: { executors: readonly Executor[], at: number }
  /** Monotonic ms. */
  lastMessageAt: number
  silence: SilenceDetector
  /** Calls to workers that wait to be sent to the follower. */
  orders: Batch<NumberedCall>
  /** ms since the store last answered the follower. */
  storeSilence: number
  /** ms for which the store has refused the follower's calls. */
  storeFailing: number
  strength: number
  /** Weight in bytes of the open jobs that the follower could hold as decider. */
  openJobLimit: number
  /** Monotonic ms, on this node's clock, at which the process there started. */
  startedAt: number
}

/** The nodes that follow a decider. */
export class Followers {
  private readonly followers = new Map<string, FollowerState>()
  /** Addresses of nodes that may run and are not linked, so that they may have claimed the term. */
  private readonly absent: Set<string>
  /** Names of the followers that were offered the term and have not declined. */
  private readonly offers = new Set<string>()
  private readonly calls = new Map<number, { node: string, resolve: (answer: unknown) => void }>()
  private nextCall = 1
  /** The followers as executors of calls to workers; replaced after each change. */
  executors: readonly Executor[] = []
  private readonly timer: Timer

  /** @param options - `expected`: addresses of the other nodes that were in the cell at the end of the former term, as far as they are known */
  constructor (private readonly options: { clock: Clock, log: Log, fence: number, expected: string[], callbacks: FollowersCallbacks }) {
    this.absent = new Set(options.expected)
    this.timer = options.clock.repeat(LINK_HEARTBEAT_MS, () => {
      this.sendHeartbeats()
      options.clock.scheduleImmediate(() => { this.removeSilent() })
    })
  }

  /** @returns names of the followers, in the order in which they joined */
  get nodes (): string[] {
    return [...this.followers.keys()]
  }

  /**
   * @returns whether no node can have claimed the term: they are all linked, have not accepted an offer, and have recently said that the store doesn't
   * answer them. A node that is not linked may be in a part of the network that the store answers.
   */
  isStoreLostForAll (): boolean {
    const reportedSince = this.options.clock.now() - CONFIRMATION_WINDOW_MS
    return this.absent.size === 0 && this.offers.size === 0 && this.followers.size > 0 && [...this.followers.values()].every(({ lastMessageAt, storeSilence, storeFailing }) =>
      lastMessageAt > reportedSince && (storeSilence > STORE_TIMEOUT_MS || storeFailing >= STORE_REFUSAL_TIMEOUT_MS))
  }

  /** Adds a node that has asked to join. */
  add (link: FollowerLink, { node, dataCentre, address, strength, age, openJobLimit = Infinity }: Omit<Extract<FollowerMessage, { kind: 'hello' }>, 'kind'>): void {
    const { clock, log, fence } = this.options
    this.followers.get(node)?.link.close()
    const now = clock.now()
    const encoder = new WorkerCallEncoder()
    const follower: FollowerState = {
      node, dataCentre, address, link, interval: LINK_HEARTBEAT_MS, heartbeatAt: 0, members: { executors: [], at: -Infinity }, lastMessageAt: now, silence: new SilenceDetector({ clock }), orders: new Batch({ clock, delay: ORDER_BATCH_MS, flush: calls => { link.send(encoder.encode(fence, calls)) } }), storeSilence: 0, storeFailing: 0, strength, openJobLimit, startedAt: now - age
    }
    this.followers.set(node, follower)
    this.absent.delete(address)
    this.offers.delete(node)
    this.updateExecutors()
    link.onMessage = message => { runLogged(() => { this.handleMessage(follower, message) }, log, 'message of a follower') }
    link.onClose = reason => { this.remove(follower, reason) }
    link.send({ kind: 'welcome', term: fence })
    log.write(CELL_EVENTS.followerGained, { follower: node })
  }

  /**
   * Has a follower call the advice service.
   *
   * @param node - name of the follower
   * @param question - step, workers named in the call, and timeout in ms
   */
  async ask (node: string, question: { step: string, workers: string[], timeout: number }): Promise<Advice> {
    return await this.call<Advice>(node, (follower, call) => { follower.link.send({ kind: 'advise', call, ...question }) }, question.timeout) ?? { kind: 'failed', reason: 'the node did not answer' }
  }

  /**
   * Has a follower call a worker.
   *
   * @param node - name of the follower
   * @param order - the call
   * @param timeout - ms
   * @returns the result, or `undefined` if none arrived in time
   */
  async execute (node: string, order: WorkerCall, timeout: number): Promise<WorkerCallResult | undefined> {
    return await this.call<WorkerCallResult>(node, (follower, call) => { follower.orders.add({ call, order }) }, timeout)
  }

  private async call<Value> (node: string, send: (follower: FollowerState, call: number) => void, timeout: number): Promise<Value | undefined> {
    const follower = this.followers.get(node)
    if (follower === undefined) return undefined
    const call = this.nextCall++
    return await new Promise<Value | undefined>(resolve => {
      const timer = scheduleTimeout(this.options.clock, timeout, () => { this.resolveCall(call, undefined) })
      this.calls.set(call, {
        node,
        resolve: answer => {
          timer.cancel()
          resolve(answer as Value | undefined)
        }
      })
      send(follower, call)
    })
  }

  /**
   * Asks a follower to claim the term.
   *
   * @param reason - reason for the succession
   * @param attempt - number of earlier attempts; each attempt selects the next eligible follower
   * @param maxStoreSilence - store silence in ms from which a follower is not eligible
   * @returns name of the nominated follower, or `undefined` if none is eligible
   */
  nominateSuccessor (reason: SuccessionReason, attempt: number, maxStoreSilence = MAX_SUCCESSOR_STORE_SILENCE_MS): string | undefined {
    const eligible = (reason === 'stopping' ? this.rankedForPlannedStop() : this.ranked()).filter(follower => follower.storeSilence < maxStoreSilence && follower.storeFailing === 0)
    const follower = eligible[attempt % Math.max(1, eligible.length)]
    if (follower === undefined) return undefined
    this.offers.add(follower.node)
    follower.link.send({ kind: 'succeed', reason })
    return follower.node
  }

  /** Closes all links. */
  close (): void {
    this.timer.cancel()
    for (const follower of [...this.followers.values()]) follower.link.close()
    for (const call of [...this.calls.keys()]) this.resolveCall(call, undefined)
  }

  /** @returns strength of the strongest follower that the store answers, or 0 if there is none */
  get maxStrength (): number {
    return Math.max(0, ...[...this.followers.values()].filter(follower => follower.storeSilence < MAX_SUCCESSOR_STORE_SILENCE_MS).map(follower => follower.strength))
  }

  /** @returns smallest weight in bytes of open jobs that a follower could hold as decider, or `Infinity` without any */
  get smallestOpenJobLimit (): number {
    let smallest = Infinity
    for (const { openJobLimit } of this.followers.values()) smallest = Math.min(smallest, openJobLimit)
    return smallest
  }

  /** Sorts the followers by strength, the strongest first, then in the order in which they joined. */
  private ranked (): FollowerState[] {
    return [...this.followers.values()].sort((a, b) => b.strength - a.strength)
  }

  /**
   * Sorts the followers for a planned stop: strong ones first, the latest started before others, since in a rolling restart these have
   * been restarted already. Followers that are still warming up come next, then weak ones.
   */
  private rankedForPlannedStop (): FollowerState[] {
    const ranked = this.ranked()
    const minStrength = (ranked[0]?.strength ?? 0) * MIN_STRENGTH_RATIO
    const warmSince = this.options.clock.now() - WARM_UP_MS
    const penalty = (follower: FollowerState): number => follower.strength < minStrength ? 2 : follower.startedAt > warmSince ? 1 : 0
    return ranked.sort((a, b) => penalty(a) - penalty(b) || b.startedAt - a.startedAt)
  }

  private handleMessage (follower: FollowerState, message: FollowerMessage): void {
    const { clock, callbacks, fence } = this.options
    follower.lastMessageAt = clock.now()
    follower.silence.noteMessage()
    switch (message.kind) {
      case 'beat':
        follower.storeSilence = message.storeSilence
        follower.storeFailing = message.storeFailing ?? 0
        if (message.term > fence) callbacks.onNewerTerm()
        return callbacks.onConfigurationVersion({ version: message.configuration }, answer => { follower.link.send(answer) })
      case 'job': return this.handleJob(follower, message)
      case 'cancel': return callbacks.onCancel(message.id)
      case 'configuration-wanted':
      case 'configuration-text': return callbacks.onConfigurationMessage(message, follower.node, answer => { follower.link.send(answer) })
      case 'declined':
        this.offers.delete(follower.node)
        return
      case 'ask': return detach(this.answerFollower(follower, message), this.options.log, 'query of a follower')
      case 'record': return detach(this.writeForFollower(follower, message), this.options.log, 'record for a follower')
      case 'advised': return this.resolveCall(message.call, message.advice)
      case 'executed':
        for (const { call, result } of message.results) this.resolveCall(call, result)
        return
      case 'hello': follower.link.send({ kind: 'welcome', term: fence })
    }
  }

  /** Without the version of its row, a job is left to the feed of submissions. */
  private handleJob (follower: FollowerState, { job, version }: Extract<FollowerMessage, { kind: 'job' }>): void {
    const { log, callbacks } = this.options
    const problem = typeof version === 'number' ? findJobProblem(job) : 'the version of the job is missing'
    if (problem === undefined) callbacks.onJob({ job, version: version! })
    else log.write(CELL_EVENTS.badMessage, { from: follower.node, problem })
  }

  private async answerFollower (follower: FollowerState, { call, question }: Extract<FollowerMessage, { kind: 'ask' }>): Promise<void> {
    follower.link.send({ kind: 'answer', call, answer: await this.options.callbacks.answer(question) })
  }

  private async writeForFollower (follower: FollowerState, message: Extract<FollowerMessage, { kind: 'record' }>): Promise<void> {
    follower.link.send({ kind: 'recorded', call: message.call, outcome: await this.options.callbacks.write(message.wish, message.patience) })
  }

  private sendHeartbeats (): void {
    const { clock, callbacks } = this.options
    const now = clock.now()
    let rank = 0
    const configuration = callbacks.configurationVersion()
    const configurationConfirmedAt = callbacks.configurationConfirmedAt()
    const backlog = callbacks.backlog?.()
    const openJobs = callbacks.openJobs?.()
    const storeSilence = Math.min(callbacks.storeSilence(), Number.MAX_SAFE_INTEGER)
    const confirmationInterval = Math.round(callbacks.confirmationInterval())
    for (const follower of this.ranked()) {
      const isEligible = follower.storeSilence < MAX_SUCCESSOR_STORE_SILENCE_MS
      const place = isEligible ? rank++ : this.followers.size
      this.updateInterval(follower, place < WATCHER_COUNT ? LINK_HEARTBEAT_MS : DISTANT_HEARTBEAT_MS, now)
      if (now - follower.heartbeatAt < follower.interval - LINK_HEARTBEAT_MS / 2) continue
      follower.heartbeatAt = now
      follower.link.send({ kind: 'beat', rank: place, interval: follower.interval, configuration, configurationConfirmedAt, storeSilence, ...(confirmationInterval < USUAL_CONFIRMATION_INTERVAL_MS ? {} : { confirmationInterval }), ...(backlog === undefined ? {} : { backlog }), ...(openJobs === undefined ? {} : { openJobs }) })
      if (place < WATCHER_COUNT) this.reportMembers(follower, now)
    }
  }

  /** Gives up followers that have been silent for too long. */
  private removeSilent (): void {
    const silent = [...this.followers.values()].filter(follower => follower.silence.check(follower.interval))
    const limit = 2 * silent.length > this.followers.size ? OWN_DELAY_LIMIT_MS : 0
    for (const follower of silent) {
      if (follower.silence.silence <= limit) continue
      follower.link.close()
      this.remove(follower, 'silent')
    }
  }

  private updateInterval (follower: FollowerState, interval: number, now: number): void {
    if (follower.interval === interval) return
    follower.interval = interval
    // The follower is told at once; until then it sends heartbeats at the former interval, which must not count as silence.
    follower.heartbeatAt = 0
    follower.lastMessageAt = now
    follower.silence.restart()
  }

  private reportMembers (follower: FollowerState, now: number): void {
    if (follower.members.executors === this.executors || now - follower.members.at < MEMBERS_INTERVAL_MS) return
    follower.members = { executors: this.executors, at: now }
    follower.link.send({ kind: 'members', addresses: [...this.followers.values()].map(({ address }) => address) })
  }

  private remove (follower: FollowerState, reason: string): void {
    if (this.followers.get(follower.node) !== follower) return
    this.followers.delete(follower.node)
    this.absent.add(follower.address)
    this.updateExecutors()
    this.options.log.write(CELL_EVENTS.followerLost, { follower: follower.node, reason })
    for (const [call, { node }] of [...this.calls]) {
      if (node === follower.node) this.resolveCall(call, undefined)
    }
  }

  private updateExecutors (): void {
    this.executors = [...this.followers.values()].map(({ node, dataCentre, strength }) => ({ node, dataCentre, strength }))
  }

  /** Completes a pending call with its answer, or with `undefined` if there is none. */
  private resolveCall (call: number, answer: unknown): void {
    const pending = this.calls.get(call)
    this.calls.delete(call)
    pending?.resolve(answer)
  }
}
