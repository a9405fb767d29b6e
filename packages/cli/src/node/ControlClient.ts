import type { Address, Finding, Result } from '@rattanstep/core'
import { Err, Ok } from '@rattanstep/core'
import { Agent, request } from 'undici'
import type { ControlError, ControlFault, RulesText } from '../types/control.js'

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  /** Control address of the node. */
  node: Address
  secret: string
  /** Milliseconds without an answer after which a command counts as failed (default 10000). */
  timeout?: number
}

const DEFAULT_TIMEOUT_MS = 10_000
const CONNECT_TIMEOUT_MS = 3000

/** Header that carries the version of the rules. */
const VERSION_HEADER = 'rattanstep-rules-version'

/** Faults of answers with a status of their own. */
const FAULTS_BY_STATUS: Record<number, ControlFault> = {
  401: 'secret',
  403: 'secret',
  404: 'not-found',
  409: 'conflict',
  422: 'findings',
  503: 'unavailable'
}

/** Codes of connection errors after which no byte of a command has left. */
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

/** Speaks to the control interface of one node. */
export class ControlClient {
  private readonly agent: Agent
  private readonly origin: string
  private readonly secret: string

  /** @param options - whom to speak to */
  constructor (options: ControlClientOptions) {
    const timeout = options.timeout ?? DEFAULT_TIMEOUT_MS
    const { host, port } = options.node
    this.origin = `http://${host.includes(':') ? `[${host}]` : host}:${port}`
    this.secret = options.secret
    this.agent = new Agent({ connectTimeout: CONNECT_TIMEOUT_MS, headersTimeout: timeout, bodyTimeout: timeout })
  }

  /** @returns the rules in force at the node, byte for byte */
  async rules (): Promise<Result<RulesText, ControlError>> {
    const response = await this.send({ method: 'GET', path: '/v1/rules' })
    return response.map(({ version, body }) => ({ version, text: body }))
  }

  /**
   * @param text - new rules
   * @param basedOn - version that the text was made from, or `*` for the newest
   * @returns the version that the text has become
   */
  async apply (text: string, basedOn: number | '*'): Promise<Result<number, ControlError>> {
    const headers = { 'content-type': 'application/yaml', [VERSION_HEADER]: String(basedOn) }
    const command: ControlRequest = { method: 'PUT', path: '/v1/rules', headers, body: text }
    const response = await this.send(command)
    if (response.isErr()) return response
    const version = numberOf(parseJson(response.value.body), 'version')
    return version > 0 ? Ok(version) : Err(this.createUnexpectedError(command))
  }

  /** @returns the node's status */
  async status (): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'GET', path: '/v1/status' })
  }

  /** @returns what the node says to its planned stop */
  async drain (): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'POST', path: '/v1/drain' })
  }

  /** @returns every job that the node knows of */
  async jobs (): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'GET', path: '/v1/jobs' })
  }

  /**
   * @param id - name of a job
   * @returns how the job stands
   */
  async job (id: string): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'GET', path: `/v1/jobs/${encodeURIComponent(id)}` })
  }

  /**
   * @param job - a resolved job
   * @returns what the node says to it
   */
  async submit (job: object): Promise<Result<unknown, ControlError>> {
    const headers = { 'content-type': 'application/json' }
    return await this.requestJson({ method: 'POST', path: '/v1/jobs', headers, body: JSON.stringify(job) })
  }

  /**
   * @param id - name of a job
   * @returns what the node says to its cancellation
   */
  async cancel (id: string): Promise<Result<unknown, ControlError>> {
    return await this.requestJson({ method: 'DELETE', path: `/v1/jobs/${encodeURIComponent(id)}` })
  }

  /** @returns whether the node serves callers */
  async ready (): Promise<boolean> {
    const response = await this.send({ method: 'GET', path: '/readyz' })
    return response.isOk()
  }

  /** Ends the connections. */
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
    const summary = `${command.method} ${command.path} at ${this.origin} was refused with ${status}${detail === null ? '' : ` (${detail})`}`
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

/** What to do about each fault. */
const ADVICE: Record<ControlFault, string> = {
  unreachable: 'nothing was done; check the address and whether the node runs, or name another node with --node',
  unknown: 'it may have taken effect; look with show, status or jobs before repeating it',
  secret: 'give the secret of the node\'s settings with --secret or RATTANSTEP_SECRET',
  conflict: 'another operator was first; look at what is there and decide again',
  findings: 'mend the findings and repeat',
  'not-found': 'check the name',
  unavailable: 'the node can not do it now; status tells what is wrong',
  unexpected: 'check that the address is a control address'
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

/** Whether the node itself does not know if its write to the table took effect. */
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
