import type { Address, Clock, Random } from '@rattanstep/core'
import { RetryBudget } from '@rattanstep/policy'
import type { ResolvedRules } from '@rattanstep/rules'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { CallerLimits } from '../runtime/CallerLimits.js'
import type { CallerLimit } from '../runtime/CallerLimits.js'
import type { Keys } from '../runtime/Keys.js'
import type { Permits } from '../runtime/Permits.js'
import { ProbeTimes } from '../runtime/ProbeTimes.js'
import { callerOf, resolveIntake } from '../runtime/resolveIntake.js'
import { FRONT_EVENTS } from '../types/events.js'
import type { Intake } from '../types/intake.js'
import type { Problem } from '../types/problem.js'
import { CallerServer } from './CallerServer.js'
import type { Arrival } from './CallerServer.js'
import type { Dispatcher } from './Dispatcher.js'
import { Exchange } from './Exchange.js'
import { pairHeaders } from './headers.js'
import { Reply } from './Reply.js'
import { RequestBody } from './RequestBody.js'
import type { BodyFault } from './RequestBody.js'
import { whenOver } from './whenOver.js'

/** What a front works with. */
export interface FrontOptions {
  /** Where callers are listened to; port 0 takes any. */
  address: Address
  /** Rules in force, asked at each request. */
  rules: () => ResolvedRules
  permits: Permits
  keys: Keys
  dispatcher: Dispatcher
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  /** Name of the node's life, which request identifiers begin with. */
  nodeId: string
  /** Called when the front becomes ready or ceases to be. */
  onReady?: (ready: boolean) => void
}

/** Bodies of a declared size up to this many bytes are read before room is asked for. */
const BUFFERED_BODY_BYTES = 64 * 1024

/** Time after which a caller that was refused by the front itself may come back, in ms. */
const RETRY_MS = 1000

/** Time between looks at the requests in flight while draining, in ms. */
const DRAIN_PERIOD_MS = 20

/** Longest wait of a planned stop for the homes of keys to confirm how requests ended, in ms. */
const SETTLE_WAIT_MS = 2000

/** Callers' HTTP of one node. */
export class Front {
  private readonly server: CallerServer
  private readonly callers = new CallerLimits()
  private readonly retries = new RetryBudget()
  private readonly probes = new ProbeTimes()
  private sequence = 0
  private listening = false
  private draining = false

  constructor (private readonly options: FrontOptions) {
    this.server = new CallerServer({
      address: options.address,
      clock: options.clock,
      limits: () => options.rules().limits,
      onRequest: arrival => { this.take(arrival) },
      onMalformed: (caller, code, status) => { this.noteMalformed(caller, code, status) }
    })
    options.metrics.gauge('front_in_flight', () => this.callers.inFlight)
  }

  /** Whether new requests are taken. */
  get ready (): boolean {
    return this.listening && !this.draining
  }

  /** Number of requests in flight. */
  get inFlight (): number {
    return this.callers.inFlight
  }

  /**
   * Begins to take requests.
   *
   * @returns where the front listens
   */
  async listen (): Promise<Address> {
    const address = await this.server.listen()
    this.listening = true
    this.options.log.write(FRONT_EVENTS.listening, { address: `${address.host}:${address.port}` })
    this.options.onReady?.(true)
    return address
  }

  /**
   * Refuses new requests, waits for those in flight and closes.
   *
   * @param timeout - most ms to wait
   */
  async drain (timeout: number): Promise<void> {
    const { clock, log } = this.options
    if (!this.draining) this.options.onReady?.(false)
    this.draining = true
    log.write(FRONT_EVENTS.draining, { inFlight: this.inFlight, timeout })
    const end = clock.now() + timeout
    while (this.inFlight > 0 && clock.now() < end) await clock.sleep(DRAIN_PERIOD_MS)
    const settled = Math.min(end, clock.now() + SETTLE_WAIT_MS)
    while (!this.options.keys.isSettled && clock.now() < settled) await clock.sleep(DRAIN_PERIOD_MS)
    log.write(FRONT_EVENTS.drained, { cut: this.inFlight })
    await this.close()
  }

  /** Closes at once; requests in flight are cut. */
  async close (): Promise<void> {
    this.draining = true
    this.server.close()
    this.options.dispatcher.close()
  }

  private take (arrival: Arrival): void {
    const { message, response } = arrival
    const id = `${this.options.nodeId}.${(this.sequence++).toString(36)}`
    const reply = new Reply(response, message.socket, id, () => this.draining)
    const headers = pairHeaders(message.rawHeaders)
    const remote = message.socket.remoteAddress ?? ''
    if (this.draining) {
      this.refuse(reply, id, drainingProblem())
      return
    }
    const caller = callerOf(headers, remote)
    const limit = this.callers.enter(caller, this.options.rules().limits)
    if (limit !== null) {
      this.refuse(reply, id, limitProblem(limit))
      return
    }
    whenOver(message, response, () => { this.callers.leave(caller) })
    const head = { id, method: message.method ?? '', url: message.url ?? '', headers, remote }
    const result = resolveIntake(head, this.options.rules())
    if (result.isErr()) {
      this.refuse(reply, id, { ...result.error, outcome: 'not-run', retryAfter: 0 })
      return
    }
    this.exchange(arrival, result.value, reply).catch((error: unknown) => {
      this.options.log.write(FRONT_EVENTS.faulted, { request: id, error: String(error) })
      reply.cut()
    })
  }

  private async exchange (arrival: Arrival, intake: Intake, reply: Reply): Promise<void> {
    const { message, response } = arrival
    const gone = new AbortController()
    whenOver(message, response, () => {
      if (!response.writableFinished) gone.abort('caller-gone')
    })
    const body = new RequestBody(message, {
      clock: this.options.clock,
      size: intake.limits.body,
      idleTimeout: intake.limits.idleTimeout,
      buffer: BUFFERED_BODY_BYTES
    })
    const size = body.check()
    if (size.isOk() && arrival.expectsContinue) response.writeContinue()
    const prepared = size.isOk() ? await body.prepare() : size
    if (prepared.isErr()) {
      this.refuse(reply, intake.id, bodyProblem(prepared.error, intake.limits.body))
      return
    }
    await new Exchange({ ...this.options, retries: this.retries, probes: this.probes }, intake, body, reply, gone).run()
    body.drop()
  }

  private refuse (reply: Reply, request: string, problem: Problem): void {
    reply.refuse(problem)
    this.options.log.write(FRONT_EVENTS.refused, { request, class: '', wait: 0, reason: problem.code, status: problem.status })
    this.options.metrics.counter('front_refused', { class: '', reason: problem.code }).add()
  }

  private noteMalformed (caller: string, code: string, status: number): void {
    this.options.log.write(FRONT_EVENTS.malformed, { caller, code, status })
    this.options.metrics.counter('front_malformed').add()
  }
}

function drainingProblem (): Problem {
  return { status: 503, outcome: 'not-run', code: 'draining', detail: 'The request was not run: this node is stopping; send it again on a new connection.', retryAfter: RETRY_MS }
}

function limitProblem (limit: CallerLimit): Problem {
  if (limit === 'caller') return { status: 429, outcome: 'not-run', code: 'caller-limit', detail: 'The request was not run: this caller has too many requests in flight; wait for answers before sending more.', retryAfter: RETRY_MS }
  return { status: 503, outcome: 'not-run', code: 'node-limit', detail: 'The request was not run: this node has too many requests in flight; send it again later.', retryAfter: RETRY_MS }
}

function bodyProblem (fault: BodyFault, size: number): Problem {
  if (fault === 'too-large') return { status: 413, outcome: 'not-run', code: 'body-too-large', detail: `The request was not run: its body is larger than ${size} bytes; send less.`, retryAfter: 0 }
  if (fault === 'too-slow') return { status: 408, outcome: 'not-run', code: 'body-too-slow', detail: 'The request was not run: its body came too slowly; send it again without pauses.', retryAfter: 0 }
  return { status: 400, outcome: 'not-run', code: 'body-broken', detail: 'The request was not run: its body broke off; send it again whole.', retryAfter: 0 }
}
