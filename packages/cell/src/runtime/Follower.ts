import type { Clock, Timer } from '@rattanstep/core'
import type { RecordedJob } from '../types/job.js'
import type { WorkerCall, WorkerCallResult } from '../types/execution.js'
import type { Answer, ConfigurationMessage, DeciderMessage, Question, FollowerMessage } from '../types/links.js'
import { LINK_HEARTBEAT_MS } from '../types/limits.js'
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
import { scheduleTimeout } from './scheduleTimeout.js'
import type { SilenceDetector } from './SilenceDetector.js'

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
 * - `called`: the decider has asked this node to claim the term
 * - `superseded`: another node has claimed the term
 * - `turned-away`: the other end is not the decider
 */
export type FollowEndReason = 'closed' | 'called' | 'superseded' | 'turned-away'

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
  /** Longest time in ms between two recent confirmations of the term by the store, as the decider has last reported it. */
  confirmationInterval = 0
  /** Whether the decider has been silent for too long since its last message. */
  isSilent = false
  /** Whether the decider has accepted this node. */
  hasJoined = false
  /** Why following has ended. */
  endReason: FollowEndReason | undefined
  /** The last report of the decider's backlog. */
  backlog: ReceivedBacklog | undefined
  /** The decider's last word on the open jobs. */
  openJobs: ReceivedOpenJobs | undefined
  private readonly calls = new Map<number, (answer: unknown) => void>()
  private nextCall = 1
  private timer: Timer | undefined
  private readonly callDecoder = new WorkerCallDecoder()
  private readonly results: Batch<{ call: number, result: WorkerCallResult }>
  private readonly silence: SilenceDetector
  private resolveEnd!: (end: FollowEndReason) => void
  private readonly endPromise = new Promise<FollowEndReason>(resolve => { this.resolveEnd = resolve })
  /** Callbacks that wait for a change of `isSilent`, or the end. */
  private changeCallbacks: Array<() => void> = []
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
    /** What is known of the decider's heartbeats from earlier links to it. */
    silence: SilenceDetector
  }) {
    this.lastMessageAt = options.clock.now()
    this.silence = options.silence
    this.silence.restart()
    this.results = new Batch({ clock: options.clock, delay: RESULT_BATCH_MS, flush: results => { if (this.endReason === undefined) link.send({ kind: 'executed', results }) } })
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
    // The decider counts silence from the hello on, and its answer may be late.
    this.startHeartbeats()
    const silent = clock.sleep(timeout).then(() => 'silent' as const)
    const closed = this.endPromise.then(() => 'refused' as const)
    const outcome = await Promise.race([this.welcomePromise, silent, closed])
    if (outcome === 'silent') this.setSilent(true)
    return outcome
  }

  /** Waits until the decider is silent for too long, or following has ended. */
  async whenDisturbed (): Promise<void> {
    while (!this.isSilent && this.endReason === undefined) await this.whenChanged()
  }

  /** Waits until the decider becomes silent or is heard again, or following has ended. */
  async whenChanged (): Promise<void> {
    if (this.endReason !== undefined) return
    await new Promise<void>(resolve => { this.changeCallbacks.push(resolve) })
  }

  /** ms for which the decider has been silent, and ms up to which that counts as normal. */
  get silenceReport (): { silence: number, tolerance: number } {
    return { silence: Math.round(this.silence.silence), tolerance: Math.round(this.silence.tolerance(this.interval)) }
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
    if (this.endReason !== undefined) return undefined
    return await this.call<WriteOutcome>(call => ({ kind: 'record', call, wish: request, patience: timeout }), timeout) ?? 'unknown'
  }

  private async call<Value> (write: (call: number) => FollowerMessage, timeout: number): Promise<Value | undefined> {
    if (this.endReason !== undefined) return undefined
    const call = this.nextCall++
    return await new Promise<Value | undefined>(resolve => {
      const timer = scheduleTimeout(this.options.clock, timeout, () => { this.resolveCall(call, undefined) })
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
    this.silence.noteMessage()
    this.setSilent(false)
    switch (message.kind) {
      case 'welcome':
        this.hasJoined = true
        return this.resolveWelcome('welcomed')
      case 'elsewhere':
        this.resolveWelcome('turned-away')
        return this.end('turned-away')
      case 'beat':
        this.rank = message.rank
        this.interval = message.interval
        this.deciderStoreSilence = message.storeSilence
        this.confirmationInterval = message.confirmationInterval ?? 0
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
    if (this.endReason === undefined) this.link.send({ kind: 'declined' })
  }

  private async advise (message: Extract<DeciderMessage, { kind: 'advise' }>): Promise<void> {
    const advice = await this.options.callbacks.advise(message)
    if (this.endReason === undefined) this.link.send({ kind: 'advised', call: message.call, advice })
  }

  private async execute ({ call, order }: NumberedCall): Promise<void> {
    this.results.add({ call, result: await this.options.callbacks.execute(order) })
  }

  private startHeartbeats (): void {
    const { clock } = this.options
    this.timer = clock.repeat(LINK_HEARTBEAT_MS, () => {
      this.sendHeartbeat()
      clock.scheduleImmediate(() => { this.checkSilence() })
    })
  }

  private sendHeartbeat (): void {
    const { clock, storeSilence, storeFailing, callbacks, newestFence } = this.options
    const now = clock.now()
    if (now - this.lastHeartbeatAt < this.interval - LINK_HEARTBEAT_MS / 2) return
    this.lastHeartbeatAt = now
    this.link.send({ kind: 'beat', storeSilence: Math.min(storeSilence(), Number.MAX_SAFE_INTEGER), storeFailing: storeFailing(), term: newestFence(), configuration: callbacks.configurationVersion() })
  }

  private checkSilence (): void {
    if (this.endReason === undefined && this.silence.check(this.interval)) this.setSilent(true)
  }

  private setSilent (isSilent: boolean): void {
    if (this.isSilent === isSilent) return
    this.isSilent = isSilent
    this.notifyChange()
  }

  private notifyChange (): void {
    const callbacks = this.changeCallbacks
    this.changeCallbacks = []
    for (const callback of callbacks) callback()
  }

  /** Completes a pending call with its answer, or with `undefined` if there is none. */
  private resolveCall (call: number, answer: unknown): void {
    const resolve = this.calls.get(call)
    this.calls.delete(call)
    resolve?.(answer)
  }

  private end (end: FollowEndReason): void {
    if (this.endReason !== undefined) return
    this.endReason = end
    this.timer?.cancel()
    for (const call of [...this.calls.keys()]) this.resolveCall(call, undefined)
    this.resolveEnd(end)
    this.notifyChange()
  }
}
