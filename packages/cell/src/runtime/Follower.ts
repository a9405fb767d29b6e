import type { Clock, Timer } from '@rattanstep/core'
import type { RecordedJob } from '../types/job.js'
import type { WorkerCall, WorkerCallResult } from '../types/execution.js'
import type { Answer, ConfigurationMessage, DeciderMessage, Question, FollowerMessage } from '../types/links.js'
import { LINK_HEARTBEAT_MS, LINK_TIMEOUT_RATIO } from '../types/limits.js'
import { Batch } from './Batch.js'
import type { AnnouncedVersion } from './ConfigurationSync.js'
import type { Advice } from '../types/ports.js'
import type { WriteRequest } from './Gateway.js'
import type { WriteOutcome } from './SubmissionWriter.js'
import type { Link, LinkConnector } from './Link.js'
import { WorkerCallDecoder } from './WorkerCallCodec.js'
import type { NumberedCall } from './WorkerCallCodec.js'
import type { ReceivedOpenJobs } from '../openJobs/OpenJobGate.js'
import type { ReceivedBacklog } from './AdmissionGate.js'
import type { Log } from '@rattanstep/telemetry'
import { detach } from './detach.js'
import { runLogged } from './runLogged.js'

/** Time for which the result of a call to a worker waits for others, so that the decider receives fewer messages. */
const RESULT_BATCH_MS = 3

/** Link from a follower to the decider. */
export type DeciderLink = Link<DeciderMessage, FollowerMessage>
/** Establishes links to the decider. */
export type DeciderConnector = LinkConnector<DeciderMessage, FollowerMessage>

/** Callbacks of a follower. */
export interface FollowerCallbacks {
  /** Calls the advice service on behalf of the decider; `timeout` in ms. */
  advise: (question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** Calls a worker on behalf of the decider. */
  execute: (call: WorkerCall) => Promise<WorkerCallResult>
  /** Receives the version of the configuration in force at the decider; `send` sends a message to it. */
  onConfigurationVersion: (announced: AnnouncedVersion, send: (message: ConfigurationMessage) => void) => void
  /** Receives a message of the decider about the configuration; `send` answers it. */
  onConfigurationMessage: (message: ConfigurationMessage, send: (message: ConfigurationMessage) => void) => void
  /** Returns the version of the configuration in force at this node. */
  configurationVersion: () => number
}

/**
 * Reason for which a node stops following a decider.
 *
 * - `closed`: the link was closed
 * - `silent`: no message arrived on the link for several intervals between heartbeats
 * - `called`: the decider has asked this node to claim the term
 * - `superseded`: another node has claimed the term
 */
export type FollowEndReason = 'closed' | 'silent' | 'called' | 'superseded'

/** A follower's end of the link to the decider. */
export class Follower {
  /** Place in the order of succession, from 0. */
  rank: number | undefined
  /** Addresses of all followers, as last reported by the decider to those that watch it. */
  members: string[] = []
  /** ms between heartbeats. */
  private interval = LINK_HEARTBEAT_MS
  /** Monotonic ms. */
  private lastHeartbeatAt = 0
  /** Monotonic ms. */
  private lastMessageAt: number
  /** ms since the store last answered the decider, as of its last message. */
  deciderStoreSilence = Infinity
  /** The last report of the decider's backlog. */
  backlog: ReceivedBacklog | undefined
  /** The decider's last word on the open jobs. */
  openJobs: ReceivedOpenJobs | undefined
  private readonly calls = new Map<number, (answer: unknown) => void>()
  private nextCall = 1
  private timer: Timer | undefined
  private readonly callDecoder = new WorkerCallDecoder()
  private readonly results: Batch<{ call: number, result: WorkerCallResult }>
  private hasEnded = false
  private resolveEnd!: (end: FollowEndReason) => void
  private readonly endPromise = new Promise<FollowEndReason>(resolve => { this.resolveEnd = resolve })
  private resolveWelcome!: (outcome: 'welcomed' | 'turned-away') => void
  private readonly welcomePromise = new Promise<'welcomed' | 'turned-away'>(resolve => { this.resolveWelcome = resolve })

  constructor (private readonly link: DeciderLink, private readonly options: {
    clock: Clock
    log: Log
    callbacks: FollowerCallbacks
    node: string
    dataCentre: string
    /** `HOST:PORT` at which other nodes reach this one. */
    address: string
    strength: number
    /** Weight in bytes of the open jobs that this node could hold as decider. */
    openJobLimit?: number
    /** ms since the store last answered this node */
    storeSilence: () => number
    /** ms for which the store has refused this node's calls */
    storeFailing: () => number
    /** Returns whether the store answers this node. */
    checkStore: () => Promise<boolean>
    /** Highest fencing token known to this node. */
    newestFence: () => number
    /** ms since this process started. */
    age: number
  }) {
    this.lastMessageAt = options.clock.now()
    this.results = new Batch({ clock: options.clock, delay: RESULT_BATCH_MS, flush: results => { if (!this.hasEnded) link.send({ kind: 'executed', results }) } })
    link.onMessage = message => { runLogged(() => { this.handleMessage(message) }, options.log, 'message of the decider') }
    link.onClose = () => { this.end('closed') }
  }

  /**
   * Asks to join as a follower.
   *
   * @param timeout - ms
   * @returns `welcomed`: the other end is the decider and has accepted this node; `turned-away`: the other end is not the decider;
   * `refused`: the link was closed; `silent`: no answer arrived in time
   */
  async join (timeout: number): Promise<'welcomed' | 'turned-away' | 'silent' | 'refused'> {
    const { node, dataCentre, address, strength, age, openJobLimit, clock } = this.options
    this.link.send({ kind: 'hello', node, dataCentre, address, strength, age, openJobLimit })
    const silent = clock.sleep(timeout).then(() => 'silent' as const)
    const closed = this.endPromise.then(() => 'refused' as const)
    const outcome = await Promise.race([this.welcomePromise, silent, closed])
    if (outcome === 'welcomed') this.timer = clock.repeat(LINK_HEARTBEAT_MS, () => { this.sendHeartbeat() })
    return outcome
  }

  /** Waits until following has ended. */
  async whenEnded (): Promise<FollowEndReason> {
    return await this.endPromise
  }

  /** Sends a job to the decider. The job must be on record. */
  sendJob ({ job, version }: RecordedJob): void {
    this.link.send({ kind: 'job', job, version })
  }

  /** Sends a cancellation to the decider. The cancellation must be on record. */
  sendCancellation (id: string): void {
    this.link.send({ kind: 'cancel', id })
  }

  /**
   * Sends a query to the decider.
   *
   * @param question - the query
   * @param timeout - ms
   * @returns the answer, or `undefined` if none arrived in time
   */
  async ask (question: Question, timeout: number): Promise<Answer | undefined> {
    return await this.call<Answer>(call => ({ kind: 'ask', call, question }), timeout)
  }

  /**
   * Has the decider's node write a request to the store.
   *
   * @param request - job or cancellation to write
   * @param timeout - ms
   * @returns the outcome of the write, `unknown` if no answer arrived in time, or `undefined` if the request was not sent
   */
  async forwardWrite (request: WriteRequest, timeout: number): Promise<WriteOutcome | undefined> {
    if (this.hasEnded) return undefined
    return await this.call<WriteOutcome>(call => ({ kind: 'record', call, wish: request, patience: timeout }), timeout) ?? 'unknown'
  }

  private async call<Value> (write: (call: number) => FollowerMessage, timeout: number): Promise<Value | undefined> {
    if (this.hasEnded) return undefined
    const call = this.nextCall++
    return await new Promise<Value | undefined>(resolve => {
      const timer = this.options.clock.schedule(timeout, () => { this.resolveCall(call, undefined) })
      this.calls.set(call, value => {
        timer.cancel()
        resolve(value as Value | undefined)
      })
      this.link.send(write(call))
    })
  }

  close (): void {
    this.link.close()
    this.end('closed')
  }

  /** Stops following, because another node has claimed the term. */
  supersede (): void {
    this.link.close()
    this.end('superseded')
  }

  private handleMessage (message: DeciderMessage): void {
    this.lastMessageAt = this.options.clock.now()
    switch (message.kind) {
      case 'welcome': return this.resolveWelcome('welcomed')
      case 'elsewhere': return this.resolveWelcome('turned-away')
      case 'beat':
        this.rank = message.rank
        this.interval = message.interval
        this.deciderStoreSilence = message.storeSilence
        this.backlog = message.backlog === undefined ? undefined : { report: message.backlog, at: this.lastMessageAt }
        this.openJobs = { report: message.openJobs, at: this.lastMessageAt }
        return this.options.callbacks.onConfigurationVersion({ version: message.configuration, confirmedAt: message.configurationConfirmedAt }, answer => { this.link.send(answer) })
      case 'configuration-wanted':
      case 'configuration-text': return this.options.callbacks.onConfigurationMessage(message, answer => { this.link.send(answer) })
      case 'answer': return this.resolveCall(message.call, message.answer)
      case 'recorded': return this.resolveCall(message.call, message.outcome)
      case 'advise':
        return detach(this.advise(message), this.options.log, 'advice')
      case 'execute':
        for (const call of this.callDecoder.decode(message)) detach(this.execute(call), this.options.log, 'order for the decider')
        return
      case 'members':
        this.members = message.addresses
        return
      case 'succeed': detach(this.succeed(), this.options.log, 'succession')
    }
  }

  /** Stops following to claim the term, unless the store doesn't answer: without the store, the claim would fail and the decider would lose a follower. */
  private async succeed (): Promise<void> {
    if (await this.options.checkStore()) return this.end('called')
    if (!this.hasEnded) this.link.send({ kind: 'declined' })
  }

  private async advise (message: Extract<DeciderMessage, { kind: 'advise' }>): Promise<void> {
    const advice = await this.options.callbacks.advise(message)
    if (!this.hasEnded) this.link.send({ kind: 'advised', call: message.call, advice })
  }

  private async execute ({ call, order }: NumberedCall): Promise<void> {
    this.results.add({ call, result: await this.options.callbacks.execute(order) })
  }

  private sendHeartbeat (): void {
    const { clock, storeSilence, storeFailing, callbacks, newestFence } = this.options
    const now = clock.now()
    if (now - this.lastMessageAt > LINK_TIMEOUT_RATIO * this.interval) {
      this.end('silent')
      this.link.close()
      return
    }
    if (now - this.lastHeartbeatAt < this.interval - LINK_HEARTBEAT_MS / 2) return
    this.lastHeartbeatAt = now
    this.link.send({ kind: 'beat', storeSilence: Math.min(storeSilence(), Number.MAX_SAFE_INTEGER), storeFailing: storeFailing(), term: newestFence(), configuration: callbacks.configurationVersion() })
  }

  /** Completes a pending call with its answer, or with `undefined` if there is none. */
  private resolveCall (call: number, answer: unknown): void {
    const resolve = this.calls.get(call)
    this.calls.delete(call)
    resolve?.(answer)
  }

  private end (end: FollowEndReason): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.timer?.cancel()
    for (const call of [...this.calls.keys()]) this.resolveCall(call, undefined)
    this.resolveEnd(end)
  }
}
