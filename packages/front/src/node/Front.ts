import type { Address, Clock, Random } from '@rattanstep/core'
import { RetryBudget } from '@rattanstep/policy'
import type { ResolvedRules } from '@rattanstep/rules'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { CallerLimits } from '../runtime/CallerLimits.js'
import type { CallerLimit } from '../runtime/CallerLimits.js'
import type { KeyRegistry } from '../runtime/KeyRegistry.js'
import type { PermitSource } from '../runtime/PermitSource.js'
import { ProbeTimes } from '../runtime/ProbeTimes.js'
import { callerOf, resolveRequest } from '../runtime/resolveRequest.js'
import { FRONT_EVENTS } from '../types/events.js'
import type { ResolvedRequest } from '../types/ResolvedRequest.js'
import type { Problem } from '../types/Problem.js'
import { CallerServer } from './CallerServer.js'
import type { ReceivedRequest } from './CallerServer.js'
import type { Dispatcher } from './Dispatcher.js'
import { Exchange } from './Exchange.js'
import { pairHeaders } from './headers.js'
import { Reply } from './Reply.js'
import { RequestBody } from './RequestBody.js'
import type { BodyFault } from './RequestBody.js'
import { onResponseClosed } from './onResponseClosed.js'

/** Options of `Front`. */
export interface FrontOptions {
  /** Address to listen on for callers; port 0 selects any free port. */
  address: Address
  /** Returns the rules in force; called for each request. */
  rules: () => ResolvedRules
  permits: PermitSource
  keys: KeyRegistry
  dispatcher: Dispatcher
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  /** Name of this incarnation of the node; the prefix of its request identifiers. */
  nodeId: string
  /** Called with `true` when the front becomes ready, and with `false` when it starts to drain. */
  onReady?: (ready: boolean) => void
}

/** Bodies of a declared size up to this many bytes are read completely before a permit is asked for. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024

/** Time after which a caller that the front itself refused may retry, in ms. */
const RETRY_AFTER_MS = 1000

/** Interval at which the front checks while draining whether requests are in flight, in ms. */
const DRAIN_POLL_MS = 20

/** Maximum time that a planned stop waits for the homes of keys to confirm how requests ended, in ms. */
const SETTLE_WAIT_MS = 2000

/** HTTP front of one node: receives the callers' requests and runs them on workers. */
export class Front {
  private readonly server: CallerServer
  private readonly callerLimits = new CallerLimits()
  private readonly retryBudget = new RetryBudget()
  private readonly probeTimes = new ProbeTimes()
  private sequence = 0
  private isListening = false
  private isDraining = false

  constructor (private readonly options: FrontOptions) {
    this.server = new CallerServer({
      address: options.address,
      clock: options.clock,
      limits: () => options.rules().limits,
      onRequest: received => { this.handleRequest(received) },
      onMalformed: (caller, code, status) => { this.reportMalformed(caller, code, status) }
    })
    options.metrics.gauge('front_in_flight', () => this.callerLimits.inFlight)
  }

  /** Whether new requests are accepted. */
  get ready (): boolean {
    return this.isListening && !this.isDraining
  }

  /** Number of requests in flight. */
  get inFlight (): number {
    return this.callerLimits.inFlight
  }

  /**
   * Starts to accept requests.
   *
   * @returns the address that the front listens on
   */
  async listen (): Promise<Address> {
    const address = await this.server.listen()
    this.isListening = true
    this.options.log.write(FRONT_EVENTS.listening, { address: `${address.host}:${address.port}` })
    this.options.onReady?.(true)
    return address
  }

  /**
   * Refuses new requests, waits for those in flight, and closes the front.
   *
   * @param timeout - maximum ms to wait
   */
  async drain (timeout: number): Promise<void> {
    const { clock, log } = this.options
    if (!this.isDraining) this.options.onReady?.(false)
    this.isDraining = true
    log.write(FRONT_EVENTS.draining, { inFlight: this.inFlight, timeout })
    const end = clock.now() + timeout
    while (this.inFlight > 0 && clock.now() < end) await clock.sleep(DRAIN_POLL_MS)
    const settleBy = Math.min(end, clock.now() + SETTLE_WAIT_MS)
    while (!this.options.keys.isSettled && clock.now() < settleBy) await clock.sleep(DRAIN_POLL_MS)
    log.write(FRONT_EVENTS.drained, { cut: this.inFlight })
    await this.close()
  }

  /** Closes the front at once and cuts off the requests in flight. */
  async close (): Promise<void> {
    this.isDraining = true
    this.server.close()
    this.options.dispatcher.close()
  }

  private handleRequest (received: ReceivedRequest): void {
    const { message, response } = received
    const id = `${this.options.nodeId}.${(this.sequence++).toString(36)}`
    const reply = new Reply(response, message.socket, id, () => this.isDraining)
    const headers = pairHeaders(message.rawHeaders)
    const remote = message.socket.remoteAddress ?? ''
    if (this.isDraining) {
      this.refuse(reply, id, drainingProblem())
      return
    }
    const caller = callerOf(headers, remote)
    const limit = this.callerLimits.tryAcquire(caller, this.options.rules().limits)
    if (limit !== null) {
      this.refuse(reply, id, limitProblem(limit))
      return
    }
    onResponseClosed(message, response, () => { this.callerLimits.release(caller) })
    const head = { id, method: message.method ?? '', url: message.url ?? '', headers, remote }
    const result = resolveRequest(head, this.options.rules())
    if (result.isErr()) {
      this.refuse(reply, id, { ...result.error, outcome: 'not-run', retryAfter: 0 })
      return
    }
    this.exchange(received, result.value, reply).catch((error: unknown) => {
      this.options.log.write(FRONT_EVENTS.faulted, { request: id, error: String(error) })
      reply.cut()
    })
  }

  private async exchange (received: ReceivedRequest, request: ResolvedRequest, reply: Reply): Promise<void> {
    const { message, response } = received
    const abortController = new AbortController()
    onResponseClosed(message, response, () => {
      if (!response.writableFinished) abortController.abort('caller-gone')
    })
    const body = new RequestBody(message, {
      clock: this.options.clock,
      maxBytes: request.limits.body,
      idleTimeout: request.limits.idleTimeout,
      maxBufferedBytes: MAX_BUFFERED_BODY_BYTES
    })
    const size = body.checkSize()
    if (size.isOk() && received.expectsContinue) response.writeContinue()
    const prepared = size.isOk() ? await body.readAhead() : size
    if (prepared.isErr()) {
      this.refuse(reply, request.id, bodyProblem(prepared.error, request.limits.body))
      return
    }
    await new Exchange({ ...this.options, retryBudget: this.retryBudget, probeTimes: this.probeTimes }, request, body, reply, abortController).run()
    body.discard()
  }

  private refuse (reply: Reply, request: string, problem: Problem): void {
    reply.sendProblem(problem)
    this.options.log.write(FRONT_EVENTS.refused, { request, class: '', wait: 0, reason: problem.code, status: problem.status })
    this.options.metrics.counter('front_refused', { class: '', reason: problem.code }).add()
  }

  private reportMalformed (caller: string, code: string, status: number): void {
    this.options.log.write(FRONT_EVENTS.malformed, { caller, code, status })
    this.options.metrics.counter('front_malformed').add()
  }
}

function drainingProblem (): Problem {
  return { status: 503, outcome: 'not-run', code: 'draining', detail: 'The request was not run: this node is stopping; send it again on a new connection.', retryAfter: RETRY_AFTER_MS }
}

function limitProblem (limit: CallerLimit): Problem {
  if (limit === 'caller') return { status: 429, outcome: 'not-run', code: 'caller-limit', detail: 'The request was not run: this caller has too many requests in flight; wait for answers before sending more.', retryAfter: RETRY_AFTER_MS }
  return { status: 503, outcome: 'not-run', code: 'node-limit', detail: 'The request was not run: this node has too many requests in flight; send it again later.', retryAfter: RETRY_AFTER_MS }
}

function bodyProblem (fault: BodyFault, size: number): Problem {
  if (fault === 'too-large') return { status: 413, outcome: 'not-run', code: 'body-too-large', detail: `The request was not run: its body is larger than ${size} bytes; send less.`, retryAfter: 0 }
  if (fault === 'too-slow') return { status: 408, outcome: 'not-run', code: 'body-too-slow', detail: 'The request was not run: its body came too slowly; send it again without pauses.', retryAfter: 0 }
  return { status: 400, outcome: 'not-run', code: 'body-broken', detail: 'The request was not run: its body broke off; send it again whole.', retryAfter: 0 }
}
