import type { Configuration, ApplyError } from '@rattanstep/configuration'
import type { Address } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { StatusReport } from '../types/StatusReport.js'
import { ControlServer, jsonAnswer } from './ControlServer.js'
import type { ControlAnswer, ControlRequest } from './ControlServer.js'
import type { JobsApi } from './JobsApi.js'

/** Header that carries the version of the rules. */
const VERSION_HEADER = 'rattanstep-rules-version'

/** Header value that stands for whichever version is newest. */
const NEWEST = '*'

/** What the operators' interface of one node needs. */
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

/** Operators' interface of one node. */
export class ControlApi {
  private readonly server: ControlServer

  /** @param options - what the interface shows and changes */
  constructor (private readonly options: ControlApiOptions) {
    const { address, secret, log } = options
    const open = ['/healthz', '/readyz', '/metrics']
    this.server = new ControlServer({ address, secret, log, open, handle: async request => await this.handle(request) })
  }

  /** @returns the address listened on */
  async listen (): Promise<Address> {
    return await this.server.listen()
  }

  /** Ends every connection. */
  close (): void {
    this.server.close()
  }

  private async handle (request: ControlRequest): Promise<ControlAnswer> {
    const { status, metrics, isAlive, isReady, jobs } = this.options
    if (request.path.startsWith('/v1/jobs')) return await jobs.handle(request)
    switch (`${request.method} ${request.path}`) {
      case 'GET /healthz': return sayYesOrNo(isAlive())
      case 'GET /readyz': return sayYesOrNo(isReady())
      case 'GET /metrics': return { status: 200, headers: { 'content-type': 'text/plain; version=0.0.4' }, body: metrics() }
      case 'GET /v1/status': return jsonAnswer(200, status())
      case 'GET /v1/rules': return this.showRules()
      case 'PUT /v1/rules': return await this.applyRules(request)
      case 'POST /v1/drain': return this.startDrain()
      default: return jsonAnswer(404, { error: `there is no ${request.method} ${request.path}; see the reference of the control interface` })
    }
  }

  private showRules (): ControlAnswer {
    const { configuration } = this.options
    if (!configuration.isReady) return jsonAnswer(503, { error: 'no rules are known yet; try again in a second' })
    const { version, text } = configuration.value
    return { status: 200, headers: { 'content-type': 'text/yaml', [VERSION_HEADER]: String(version) }, body: text }
  }

  private async applyRules (request: ControlRequest): Promise<ControlAnswer> {
    const given = request.headers[VERSION_HEADER] ?? NEWEST
    const basedOn = given === NEWEST ? null : Number(given)
    if (basedOn !== null && !(Number.isSafeInteger(basedOn) && basedOn >= 0)) {
      return jsonAnswer(400, { error: `${VERSION_HEADER} is ${JSON.stringify(given)}; give a version such as 3, or ${NEWEST} for the newest` })
    }
    const applied = await this.options.configuration.apply(request.body, basedOn)
    if (applied.isOk()) return jsonAnswer(200, { version: applied.value })
    return refuseRules(applied.error)
  }

  private startDrain (): ControlAnswer {
    this.options.drain().catch(() => {})
    return jsonAnswer(202, { state: 'draining' })
  }
}

function refuseRules (error: ApplyError): ControlAnswer {
  switch (error.fault) {
    case 'findings': return jsonAnswer(422, { findings: error.findings })
    case 'conflict': return jsonAnswer(409, { version: error.version })
    default: return jsonAnswer(503, { fault: error.fault, error: error.message })
  }
}

function sayYesOrNo (yes: boolean): ControlAnswer {
  return { status: yes ? 200 : 503, headers: { 'content-type': 'text/plain' }, body: yes ? 'yes\n' : 'no\n' }
}
