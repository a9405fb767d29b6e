import type { Address, Finding, Result } from '@rattanstep/core'
import { Err, Ok } from '@rattanstep/core'
import { Agent, request } from 'undici'
import type { ControlError, ControlFault, RulesText } from '../types/control.js'

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  /** Address of the node's control interface. */
  node: Address
  /** Secret from the node's settings. */
  secret: string
  /** Milliseconds without response data after which a request fails (default 10000). */
  timeout?: number
}

const DEFAULT_TIMEOUT_MS = 10_000
const CONNECT_TIMEOUT_MS = 3000

/** Header that carries the version of the rules in requests and responses. */
const VERSION_HEADER = 'rattanstep-rules-version'

/** Faults of responses by HTTP status. Every other status counts as `unexpected`. */
const FAULTS_BY_STATUS: Record<number, ControlFault> = {
  401: 'secret',
  403: 'secret',
  404: 'not-found',
  409: 'conflict',
  422: 'findings',
  503: 'unavailable'
}

/** Codes of connection errors that occur before anything is sent, so that the request cannot have taken effect. */
const UNSENT_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

interface ControlResponse {
  status: number
  version: number
  body: string
}

interface ControlRequest {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string
}

/** Client for the control interface of one node. */
export class ControlClient {
  private readonly agent: Agent
  private readonly origin: string
  private readonly secret: string

  /** @param options - address of the node, secret and timeout */
  constructor (options: ControlClientOptions) {
    const timeout = options.timeout ?? DEFAULT_TIMEOUT_MS
    const { host, port } = options.node
    this.origin = `http://${host.includes(':') ? `[${host}]` : host}:${port}`
    this.secret = options.secret
    this.agent = new Agent({ connectTimeout: CONNECT_TIMEOUT_MS, headersTimeout: timeout, bodyTimeout: timeout })
  }

  /** @returns the rules in force at the node, byte for byte, with their version */
  async rules (): Promise<Result<RulesText, ControlError>> {
    const response = await this.send({ method: 'GET', path: '/v1/rules' })
    return response.map(({ version, body }) => ({ version, text: body }))
  }

  /**
   * Applies new rules to the cell.
   *
   * @param text - contents of the rules file
   * @param basedOn - version that the text is based on, or `*` for whichever is in force; the node refuses an older one
   * @returns the version number of the new rules
   */
  async apply (text: string, basedOn: number | '*'): Promise<Result<number, ControlError>> {
    const headers = { 'content-type': 'application/yaml', [VERSION_HEADER]: String(basedOn) }
    const command: ControlRequest = { method: 'PUT', path: '/v1/rules', headers, body: text }
    const response = await this.send(command)
    if (response.isErr()) return response
    const version = numberOf(parseJson(response.value.body), 'version')
    return version > 0 ? Ok(version) : Err(this.createUnexpectedError(command))
  }

  /** @returns the JSON status of the node */
  async status (): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'GET', path: '/v1/status' })
  }

  /**
   * Starts the planned stop of the node.
   *
   * @returns the JSON response of the node
   */
  async drain (): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'POST', path: '/v1/drain' })
  }

  /** @returns all jobs that the node knows, as JSON */
  async jobs (): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'GET', path: '/v1/jobs' })
  }

  /**
   * @param id - name of a job
   * @returns the job and the state of its tasks, as JSON
   */
  async job (id: string): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'GET', path: `/v1/jobs/${encodeURIComponent(id)}` })
  }

  /**
   * Submits a job.
   *
   * @param job - the job with one entry for each task
   * @returns the JSON response of the node
   */
  async submit (job: object): Promise<Result<unknown, ControlError>> {
    const headers = { 'content-type': 'application/json' }
    return await this.requestJson({ method: 'POST', path: '/v1/jobs', headers, body: JSON.stringify(job) })
  }

  /**
   * Cancels a job.
   *
   * @param id - name of a job
   * @returns the JSON response of the node
   */
  async cancel (id: string): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'DELETE', path: `/v1/jobs/${encodeURIComponent(id)}` })
  }

  /** @returns whether the node reports that it is ready to serve callers */
  async ready (): Promise<boolean> {
    const response = await this.send({ method: 'GET', path: '/readyz' })
    return response.isOk()
  }

  /** Closes all connections, including those with a request in flight. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async requestJson (command: ControlRequest): Promise<Result<unknown, ControlError>> {
    const response = await this.send(command)
    if (response.isErr()) return response
    const json = parseJson(response.value.body)
    return isRecord(json) ? Ok(json) : Err(this.createUnexpectedError(command))
  }

  private async send (command: ControlRequest): Promise<Result<ControlResponse, ControlError>> {
    const headers = { authorization: `Bearer ${this.secret}`, ...command.headers }
    try {
      const reply = await request(this.origin + command.path, { dispatcher: this.agent, method: command.method, headers, body: command.body ?? null })
      const version = Number(reply.headers[VERSION_HEADER] ?? 0)
      const response = { status: reply.statusCode, version, body: await reply.body.text() }
      return response.status < 300 ? Ok(response) : Err(this.createRefusalError(command, response))
    } catch (error) {
      return Err(this.createConnectionError(command, error))
    }
  }

  private createRefusalError (command: ControlRequest, { status, body }: ControlResponse): ControlError {
    const json = parseJson(body)
    const fault = hasUnknownOutcome(json) ? 'unknown' : FAULTS_BY_STATUS[status] ?? 'unexpected'
    const findings = isRecord(json) && Array.isArray(json.findings) ? json.findings as Finding[] : []
    const detail = messageOf(json)
    const summary = `${command.method} ${command.path} at ${this.origin} was refused with status ${status}${detail === null ? '' : ` (${detail})`}`
    return { fault, message: `${summary}; ${ADVICE[fault]}`, findings, version: numberOf(json, 'version') }
  }

  private createUnexpectedError (command: ControlRequest): ControlError {
    return { fault: 'unexpected', message: `the answer to ${command.method} ${command.path} at ${this.origin} was not understood; ${ADVICE.unexpected}`, findings: [], version: 0 }
  }

  private createConnectionError (command: ControlRequest, error: unknown): ControlError {
    const code = isRecord(error) && typeof error.code === 'string' ? error.code : 'no code'
    const fault = UNSENT_CODES.includes(code) || command.method === 'GET' ? 'unreachable' : 'unknown'
    return { fault, message: `${command.method} ${command.path} at ${this.origin} failed (${code}); ${ADVICE[fault]}`, findings: [], version: 0 }
  }
}

/** What the operator can do about each fault. */
const ADVICE: Record<ControlFault, string> = {
  unreachable: 'nothing was changed; check the address and whether the node is running, or name another node with --node',
  unknown: 'it may have taken effect; check with show, status or jobs before repeating it',
  secret: 'set the secret from the node\'s settings with --secret or RATTANSTEP_SECRET',
  conflict: 'another operator made a change first; look at the current state and decide again',
  findings: 'correct what the findings name and try again',
  'not-found': 'check the name',
  unavailable: 'the node cannot do this at the moment; run status to see its problems',
  unexpected: 'check that the address is the control address of a node'
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

/** Whether the node reports that it does not know whether its write to the platform's table took effect. */
function hasUnknownOutcome (json: unknown): boolean {
  return isRecord(json) && (json.fault === 'unknown' || json.fault === 'undecided')
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return null
  }
}

function numberOf (json: unknown, key: string): number {
  return isRecord(json) && typeof json[key] === 'number' ? json[key] : 0
}

function messageOf (json: unknown): string | null {
  if (!isRecord(json)) return null
  const text = json.detail ?? json.message ?? json.title ?? json.error
  return typeof text === 'string' ? text : null
}
