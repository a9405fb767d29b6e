import type { Configuration, ApplyError } from '@rattanstep/configuration'
import type { Address } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { StatusReport } from '../types/StatusReport.js'
import { ControlServer, jsonResponse } from './ControlServer.js'
import type { ControlResponse, ControlRequest } from './ControlServer.js'
import type { JobsApi } from './JobsApi.js'

const RULES_VERSION_HEADER = 'rattanstep-rules-version'

/** Header value that selects the newest version. */
const NEWEST_VERSION = '*'

/** Options of the control interface. */
export interface ControlApiOptions {
  address: Address
  secret: string
  log: Log
  configuration: Configuration
  jobs: JobsApi
  status: () => StatusReport
  metrics: () => string
  isAlive: () => boolean
  isReady: () => boolean
  drain: () => Promise<void>
}

/** Control interface of one node, used by operators. */
export class ControlApi {
  private readonly server: ControlServer

  /** @param options - address, secret and the parts of the node that requests read or change */
  constructor (private readonly options: ControlApiOptions) {
    const { address, secret, log } = options
    const publicPaths = ['/healthz', '/readyz', '/metrics']
    this.server = new ControlServer({ address, secret, log, publicPaths, handle: async request => await this.handle(request) })
  }

  /**
   * Starts listening.
   *
   * @returns the bound address
   */
  async listen (): Promise<Address> {
    return await this.server.listen()
  }

  /** Stops listening and closes every connection. */
  close (): void {
    this.server.close()
  }

  private async handle (request: ControlRequest): Promise<ControlResponse> {
    const { status, metrics, isAlive, isReady, jobs } = this.options
    if (request.path.startsWith('/v1/jobs')) return await jobs.handle(request)
    switch (`${request.method} ${request.path}`) {
      case 'GET /healthz': return healthResponse(isAlive())
      case 'GET /readyz': return healthResponse(isReady())
      case 'GET /metrics': return { status: 200, headers: { 'content-type': 'text/plain; version=0.0.4' }, body: metrics() }
      case 'GET /v1/status': return jsonResponse(200, status())
      case 'GET /v1/rules': return this.getRules()
      case 'PUT /v1/rules': return await this.applyRules(request)
      case 'POST /v1/drain': return this.startDrain()
      default: return jsonResponse(404, { error: `there is no ${request.method} ${request.path}; see the reference of the control interface` })
    }
  }

  private getRules (): ControlResponse {
    const { configuration } = this.options
    if (!configuration.isReady) return jsonResponse(503, { error: 'no rules are known yet; try again in a second' })
    const { version, text } = configuration.value
    return { status: 200, headers: { 'content-type': 'text/yaml', [RULES_VERSION_HEADER]: String(version) }, body: text }
  }

  private async applyRules (request: ControlRequest): Promise<ControlResponse> {
    const requestedVersion = request.headers[RULES_VERSION_HEADER] ?? NEWEST_VERSION
    const basedOn = requestedVersion === NEWEST_VERSION ? null : Number(requestedVersion)
    if (basedOn !== null && !(Number.isSafeInteger(basedOn) && basedOn >= 0)) {
      return jsonResponse(400, { error: `${RULES_VERSION_HEADER} is ${JSON.stringify(requestedVersion)}; give a version such as 3, or ${NEWEST_VERSION} for the newest` })
    }
    const applied = await this.options.configuration.apply(request.body, basedOn)
    if (applied.isOk()) return jsonResponse(200, { version: applied.value })
    return applyErrorResponse(applied.error)
  }

  private startDrain (): ControlResponse {
    this.options.drain().catch(() => {})
    return jsonResponse(202, { state: 'draining' })
  }
}

function applyErrorResponse (error: ApplyError): ControlResponse {
  switch (error.fault) {
    case 'findings': return jsonResponse(422, { findings: error.findings })
    case 'conflict': return jsonResponse(409, { version: error.version })
    default: return jsonResponse(503, { fault: error.fault, error: error.message })
  }
}

function healthResponse (isHealthy: boolean): ControlResponse {
  return { status: isHealthy ? 200 : 503, headers: { 'content-type': 'text/plain' }, body: isHealthy ? 'yes\n' : 'no\n' }
}
