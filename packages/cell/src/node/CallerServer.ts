import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import type { CallerCodec, RequestOutcome } from '../types/callers.js'
import type { Configuration, Organisation, Route } from '../types/configuration.js'
import { CELL_EVENTS } from '../types/events.js'
import type { Gateway } from '../runtime/Gateway.js'
import { AccessControl } from '../organisations/AccessControl.js'
import type { AccessRequest } from '../organisations/AccessControl.js'
import { createJob } from '../runtime/createJob.js'
import { findSubmissionProblem } from '../runtime/findSubmissionProblem.js'
import { detach } from '../runtime/detach.js'

/** Timeout of a request whose headers don't contain one. */
const DEFAULT_TIMEOUT_MS = 3000
/** Part of a request's timeout that is reserved for the transfer of the response. */
const RESPONSE_RESERVE_MS = 100
/** Maximum age of a count of waiting jobs. The platform allows 2 s. */
const MAX_COUNT_AGE_MS = 1500
/** Time for the rest of a body that is not wanted. */
const CLOSE_DELAY_MS = 500
const JOB_ID = /^[0-9a-f]{16}$/

interface Reply {
  status: number
  body?: string
  /** s */
  retryAfter?: number
}

/** Options of a caller server. */
export interface CallerServerOptions {
  gateway: Gateway
  codec: CallerCodec
  clock: Clock
  log: Log
  metrics: Metrics
  configuration: () => Configuration | undefined
  /** Returns whether a key that is not in the configuration is known to be in no newer one. */
  isConfigurationConfirmed: () => boolean
  /** Returns where the configuration was read, and the ms since it was confirmed that no newer one exists. */
  configurationOrigin: () => { source: 'store' | 'link' | undefined, age: number }
  /** Returns the monotonic ms from which a request that is read now may have waited. */
  arrivalTime: () => number
  /** Returns the time on the store's clock in ms. */
  storeTime: () => number
  /** Returns the ms since the store last answered. */
  storeSilence: () => number
}

/** HTTP server for callers: submissions, cancellations, phases of jobs and counts of waiting jobs. */
export class CallerServer {
  /** Number of requests in flight. */
  openRequests = 0
  private isClosing = false
  private readonly server: Server
  private readonly access: AccessControl

  constructor (private readonly options: CallerServerOptions) {
    this.access = new AccessControl({ configuration: options.configuration, isConfirmed: options.isConfigurationConfirmed, metrics: options.metrics })
    this.server = createServer((request, response) => { detach(this.serve(request, response), this.options.log, 'caller request') })
    this.server.keepAliveTimeout = 15_000
  }

  listen (host: string, port: number): Server {
    return this.server.listen(port, host)
  }

  /** Makes each response close its connection from now on. */
  startClosing (): void {
    this.isClosing = true
  }

  /** Stops accepting connections and closes idle ones. */
  close (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, metrics } = this.options
    const receivedAt = this.options.arrivalTime()
    this.openRequests++
    const reply = await this.handle(request, receivedAt).catch((error: unknown) => this.handleError(error))
    this.openRequests--
    metrics.timer('caller_request', { method: request.method ?? '', status: String(reply.status) }).record(clock.now() - receivedAt)
    if (response.destroyed) return
    const body = reply.body ?? ''
    response.writeHead(reply.status, {
      'content-length': Buffer.byteLength(body),
      ...(reply.body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(reply.retryAfter === undefined ? {} : { 'retry-after': String(reply.retryAfter) }),
      ...(this.isClosing ? { connection: 'close' } : {})
    })
    if (!response.shouldKeepAlive && !request.complete) await this.awaitRest(request, response, body)
    else response.end(body)
  }

  /** Answers a request whose body is not wanted, and closes the connection a little later: closed at once, it is reset and the caller may lose the answer. */
  private async awaitRest (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    response.write(body)
    const ended = new Promise(resolve => { request.once('close', resolve).once('end', resolve).resume() })
    await Promise.race([ended, this.options.clock.sleep(CLOSE_DELAY_MS)])
    response.end()
  }

  private handleError (error: unknown): Reply {
    this.options.log.write(CELL_EVENTS.fault, { step: 'caller request', error: String(error) })
    return { status: 500 }
  }

  private async handle (request: IncomingMessage, receivedAt: number): Promise<Reply> {
    const { codec } = this.options
    const id = codec.requestId(request.headers)
    const path = (request.url ?? '/').split('?')[0]!
    const access: AccessRequest = { host: hostOf(request), path, credential: codec.credential(request.headersDistinct) }
    const admission = this.access.admit(access)
    if (admission.kind === 'refused') return this.refuse(id, admission.status, admission.reason, admission.retryAfter)
    const { route, configuration } = admission
    const job = path.slice(route.prefix.length)
    const deadline = receivedAt + (codec.timeout(request.headers) ?? DEFAULT_TIMEOUT_MS) - RESPONSE_RESERVE_MS
    if (request.method === 'POST') {
      if (!JOB_ID.test(job)) return this.refuse(id, 400, 'the id is not 16 hexadecimal digits')
      const body = await readBody(request, configuration.maxBody)
      if (body === undefined) return this.refuse(id, 413, 'body too large')
      // The key may have been revoked while the body arrived.
      const latest = this.access.admit(access)
      if (latest.kind === 'refused') return this.refuse(id, latest.status, latest.reason, latest.retryAfter)
      return await this.submit({ id, route: latest.route, organisation: latest.organisation, job, body, deadline, receivedAt })
    }
    if (request.method === 'DELETE' && !JOB_ID.test(job)) return this.refuse(id, 410, 'no such job')
    if (request.method === 'DELETE') return this.replyTo({ id, job, receivedAt, route, organisation: admission.organisation }, await this.options.gateway.cancel(job, deadline))
    if (request.method !== 'GET') return { status: 405 }
    return job === '' ? await this.getCount(id, route) : await this.getPhase(id, job)
  }

  private async submit (request: { id: string, route: Route, organisation: Organisation | undefined, job: string, body: string, deadline: number, receivedAt: number }): Promise<Reply> {
    const { codec, gateway, storeTime } = this.options
    const submission = codec.decodeSubmission(request.body)
    if (submission.isErr()) return this.refuse(request.id, 400, submission.error)
    const problem = findSubmissionProblem(submission.value, request.organisation)
    if (problem !== undefined) return this.refuse(request.id, 400, problem)
    const job = createJob(request.job, request.route, submission.value, Math.round(storeTime()), request.organisation)
    return this.replyTo(request, await gateway.submit(job, request.deadline))
  }

  private async getPhase (id: string, job: string): Promise<Reply> {
    const outcome = await this.options.gateway.phase(job)
    if (outcome.kind === 'phase') return { status: 200, body: this.options.codec.encodePhase(outcome.phase) }
    if (outcome.kind === 'unknown-job') return this.refuse(id, 410, 'no such job')
    return this.refuse(id, 503, outcome.reason, outcome.retryAfter)
  }

  private async getCount (id: string, route: Route): Promise<Reply> {
    const count = await this.options.gateway.countWaiting(route.name, MAX_COUNT_AGE_MS)
    if (count === undefined) return this.refuse(id, 503, 'the count is not known', 1)
    return { status: 200, body: this.options.codec.encodeWaitingCount(count) }
  }

  private replyTo ({ id, job, receivedAt, route, organisation }: { id: string, job: string, receivedAt: number, route: Route, organisation: Organisation | undefined }, outcome: RequestOutcome): Reply {
    const { log, clock } = this.options
    const duration = Math.round(clock.now() - receivedAt)
    switch (outcome.kind) {
      case 'accepted':
        log.write(CELL_EVENTS.submissionAccepted, { request: id, job, route: route.name, organisation: organisation?.name, duration, repeated: outcome.repeated })
        return { status: 200 }
      case 'cancelled':
        log.write(CELL_EVENTS.cancellationRecorded, { request: id, job })
        return { status: 200 }
      case 'unknown-job': return this.refuse(id, 410, 'no such job')
      case 'refused': return this.refuse(id, 503, outcome.reason, outcome.retryAfter)
      case 'unsettled':
        log.write(CELL_EVENTS.submissionUnsettled, { request: id, job, reason: outcome.reason, duration })
        return { status: 504 }
    }
  }

  private refuse (request: string, status: number, reason: string, retryAfter?: number): Reply {
    const { log, storeSilence, configuration, configurationOrigin } = this.options
    const { source, age } = configurationOrigin()
    log.write(CELL_EVENTS.requestRefused, { request, status, reason, storeSilence: Math.round(storeSilence()), configuration: configuration()?.version, configurationAge: Math.round(age), configurationSource: source })
    return { status, retryAfter }
  }
}

function hostOf (request: IncomingMessage): string {
  return (request.headers.host ?? '').split(':')[0]!
}

async function readBody (request: IncomingMessage, limit: number): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size <= limit) chunks.push(chunk)
  }
  return size > limit ? undefined : Buffer.concat(chunks).toString('utf8')
}
