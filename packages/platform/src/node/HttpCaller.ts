import { Err, Ok, SystemClock } from '@rattanstep/core'
import type { Address, Clock, Result } from '@rattanstep/core'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'

/** A complete HTTP response. */
export interface HttpAnswer {
  status: number
  body: Uint8Array
}

/** Why a call got no response. `sent` is `false` only if no byte of the request can have been sent. */
export interface HttpFailure {
  sent: boolean
  message: string
}

/** Options shared by all HTTP clients of this package. */
export interface HttpOptions {
  /** Maximum duration of one call in ms (default 2000). */
  timeout?: number
  /** Maximum number of connections to one address (default 8). */
  connections?: number
  /** Default: the system clock. */
  clock?: Clock
}

const DEFAULT_TIMEOUT_MS = 2000
const DEFAULT_CONNECTIONS = 8
/** Error codes of failures to connect, after which no byte of the request can have been sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** Makes HTTP calls, each with a time limit. */
export class HttpCaller {
  private readonly agent: Agent
  private readonly timeout: number
  private readonly clock: Clock

  /** @param options - time limit, connection limit and clock */
  constructor (options: HttpOptions = {}) {
    this.timeout = options.timeout ?? DEFAULT_TIMEOUT_MS
    this.clock = options.clock ?? new SystemClock()
    this.agent = new Agent({ connections: options.connections ?? DEFAULT_CONNECTIONS, connect: { timeout: this.timeout }, pipelining: 1 })
  }

  /**
   * Makes one call.
   *
   * @param address - address of the server
   * @param call - method, path and body
   * @returns the complete response, whatever its status, or why there is none
   */
  async call (address: Address, call: { method: Dispatcher.HttpMethod, path: string, body?: string | Uint8Array }): Promise<Result<HttpAnswer, HttpFailure>> {
    const abort = new AbortController()
    const timer = this.clock.schedule(this.timeout, () => { abort.abort() })
    try {
      const answer = await request(`http://${formatHost(address)}${call.path}`, {
        method: call.method,
        body: call.body ?? null,
        signal: abort.signal,
        dispatcher: this.agent
      })
      const body = new Uint8Array(await answer.body.arrayBuffer())
      return Ok({ status: answer.statusCode, body })
    } catch (error) {
      return Err(this.toFailure(error, abort.signal.aborted))
    } finally {
      timer.cancel()
    }
  }

  /** Closes all connections. Calls in flight fail. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private toFailure (error: unknown, aborted: boolean): HttpFailure {
    // The time limit may expire while connecting or after sending, so the request counts as possibly sent.
    if (aborted) return { sent: true, message: `no response within ${this.timeout} ms` }
    const { code, message } = error as { code?: string, message?: string }
    return { sent: !UNSENT_CODES.has(code ?? ''), message: message === undefined || message === '' ? code ?? 'the HTTP call failed without an error message' : message }
  }
}

/**
 * Formats an address for use in a URL.
 *
 * @param address - host and port
 * @returns `host:port`, with brackets around an IPv6 address
 */
export function formatHost (address: Address): string {
  return address.host.includes(':') ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`
}
