import type { IncomingMessage, Server } from 'node:http'
import type { Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import type { LimitMonitor, LimitName } from '../callers/LimitMonitor.js'
import { PortServer } from '../callers/PortServer.js'
import type { PortReply, PortRequest } from '../callers/PortServer.js'
import type { ClientLimits } from '../callers/limits.js'
import type { CallerCodec, RequestOutcome } from '../types/callers.js'
import type { Configuration, Organisation, Route } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import { CELL_EVENTS } from '../types/events.js'
import type { Gateway } from '../runtime/Gateway.js'
import { AccessControl } from '../organisations/AccessControl.js'
import type { AccessRequest } from '../organisations/AccessControl.js'
import { createJob } from '../runtime/createJob.js'
import { findSubmissionProblem } from '../runtime/findSubmissionProblem.js'

/** Timeout of a request whose headers don't contain one. */
const DEFAULT_TIMEOUT_MS = 3000
/** Part of a request's timeout that is reserved for the transfer of the response. */
const RESPONSE_RESERVE_MS = 100
/** Maximum age of a count of waiting jobs. The platform allows 2 s. */
const MAX_COUNT_AGE_MS = 1500
const JOB_ID = /^[0-9a-f]{16}$/

/** Methods that are counted by name. */
const METHODS = new Set(['GET', 'POST', 'DELETE'])
/** Limits that this port may reach. */
export const CALLER_LIMITS: readonly LimitName[] = ['connections', 'bodyBytes', 'headBytes', 'headCount', 'headTimeout', 'bodyTimeout', 'idleTimeout', 'responseTimeout', 'pipelinedRequests']

interface Reply {
  status: number
  body?: string
  /** Whether to close the connection. */
  close?: boolean
  /** s */
  retryAfter?: number
}

/** Options of a caller server. */
export interface CallerServerOptions {
  limits: ClientLimits
  monitor: LimitMonitor
  gateway: Gateway
  /** Returns why a job is too large to be stored, or for a cell without other jobs, or `undefined` if it isn't. */
  findExcess?: (job: Job) => string | undefined
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
  private readonly server: PortServer
  private readonly access: AccessControl

  constructor (private readonly options: CallerServerOptions) {
    const { clock, log, limits, monitor, configuration, isConfigurationConfirmed, metrics } = options
    this.access = new AccessControl({ configuration, isConfirmed: isConfigurationConfirmed, metrics })
    this.server = new PortServer({ clock, log, limits, bodyBytes: limits.bodyBytes, monitor, connectionLimit: 'connections', handle: this.serve })
  }

  listen (host: string, port: number): Server {
    return this.server.listen(host, port)
  }

  /** @returns number of open connections */
  get connections (): number {
    return this.server.size
  }

  /** @returns bytes that bodies and bytes read ahead hold */
  get heldBytes (): number {
    return this.server.heldBytes
  }

  /** Makes each response close its connection from now on. */
  startClosing (): void {
    this.isClosing = true
  }

  /** Stops accepting connections and closes idle ones. */
  close (): void {
    this.server.close()
  }

  private readonly serve = async (request: PortRequest): Promise<PortReply> => {
    const { clock, metrics } = this.options
    const receivedAt = Math.min(request.arrivedAt, this.options.arrivalTime())
    const { method = '' } = request.message
    this.openRequests++
    const reply = await this.handle(request, receivedAt).catch((error: unknown) => this.handleError(error))
    this.openRequests--
    metrics.timer('caller_request', { method: METHODS.has(method) ? method : 'other', status: String(reply.status) }).record(clock.now() - receivedAt)
    const headers: PortReply['headers'] = {}
    if (reply.body !== undefined) headers['content-type'] = 'application/json'
    if (reply.retryAfter !== undefined) headers['retry-after'] = String(reply.retryAfter)
    return { status: reply.status, headers, body: reply.body, close: reply.close === true || this.isClosing }
  }

  private handleError (error: unknown): Reply {
    this.options.log.write(CELL_EVENTS.fault, { step: 'caller request', error: String(error) })
    return { status: 500 }
  }

  private async handle ({ message: request, readBody }: PortRequest, receivedAt: number): Promise<Reply> {
    const { codec, limits } = this.options
    const id = codec.requestId(request.headers)
    const path = (request.url ?? '/').split('?')[0]!
    const access: AccessRequest = { host: hostOf(request), path, credential: codec.credential(request.headersDistinct) }
    const admission = this.access.admit(access)
    if (admission.kind === 'refused') return this.refuse(id, admission.status, admission.reason, admission.retryAfter)
    const { route, configuration } = admission
    const job = path.slice(route.prefix.length)
    const timeout = Math.min(codec.timeout(request.headers) ?? DEFAULT_TIMEOUT_MS, limits.requestTimeout)
    const deadline = receivedAt + timeout - RESPONSE_RESERVE_MS
    if (request.method === 'POST' && !JOB_ID.test(job)) return this.refuse(id, 400, 'the id is not 16 hexadecimal digits')
    if (request.method === 'DELETE' && !JOB_ID.test(job)) return this.refuse(id, 410, 'no such job')
    if (request.method === 'POST' || request.method === 'DELETE') {
      // A cancellation needs no body, but one that was cut short must not be carried out.
      const body = await readBody(configuration.maxBody)
      if (body.kind === 'too-large') return { ...this.refuse(id, 413, 'body too large'), close: true }
      // Nobody reads this response: the connection ended before the body did.
      if (body.kind === 'closed') return this.refuse(id, 400, 'the body is incomplete')
      // The key may have been revoked while the body arrived.
      const latest = this.access.admit(access)
      if (latest.kind === 'refused') return this.refuse(id, latest.status, latest.reason, latest.retryAfter)
      if (request.method === 'POST') return await this.submit({ id, route: latest.route, organisation: latest.organisation, job, body: body.text, deadline, receivedAt })
      return this.replyTo({ id, job, receivedAt, route: latest.route, organisation: latest.organisation }, await this.options.gateway.cancel(job, deadline))
    }
    if (request.method !== 'GET') return { status: 405 }
    return job === '' ? await this.getCount(id, route) : await this.getPhase(id, job)
  }

  private async submit (request: { id: string, route: Route, organisation: Organisation | undefined, job: string, body: string, deadline: number, receivedAt: number }): Promise<Reply> {
    const { codec, gateway, findExcess, storeTime } = this.options
    const submission = codec.decodeSubmission(request.body)
    if (submission.isErr()) return this.refuse(request.id, 400, submission.error)
    const problem = findSubmissionProblem(submission.value, request.organisation)
    if (problem !== undefined) return this.refuse(request.id, 400, problem)
    const job = createJob(request.job, request.route, submission.value, Math.round(storeTime()), request.organisation)
    const excess = findExcess?.(job)
    if (excess !== undefined) return this.refuse(request.id, 400, excess)
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
