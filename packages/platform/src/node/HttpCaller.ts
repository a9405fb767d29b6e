import { Err, Ok, SystemClock } from '@rattanstep/core'
import type { Address, Clock, Result } from '@rattanstep/core'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'

/** An answer over HTTP, read whole. */
export interface HttpAnswer {
  status: number
  body: Uint8Array
}

/** Why there is no answer. `sent` is false only when no byte can have left. */
export interface HttpFailure {
  sent: boolean
  message: string
}

/** Options of every adapter that speaks HTTP. */
export interface HttpOptions {
  /** Milliseconds that one call may take (default 2000). */
  timeout?: number
  /** Most connections to one address (default 8). */
  connections?: number
  clock?: Clock
}

const DEFAULT_TIMEOUT_MS = 2000
const DEFAULT_CONNECTIONS = 8
const UNSENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** Makes single HTTP calls, each with a deadline. */
export class HttpCaller {
  private readonly agent: Agent
  private readonly timeout: number
  private readonly clock: Clock

  /** @param options - deadline and connections */
  constructor (options: HttpOptions = {}) {
    this.timeout = options.timeout ?? DEFAULT_TIMEOUT_MS
    this.clock = options.clock ?? new SystemClock()
    this.agent = new Agent({ connections: options.connections ?? DEFAULT_CONNECTIONS, connect: { timeout: this.timeout }, pipelining: 1 })
  }

  /**
   * @param address - whom to call
   * @param call - method, path and body
   * @returns the whole answer, or why there is none
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

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private toFailure (error: unknown, aborted: boolean): HttpFailure {
    if (aborted) return { sent: true, message: `no answer within ${this.timeout} ms` }
    const { code, message } = error as { code?: string, message?: string }
    return { sent: !UNSENT_CODES.has(code ?? ''), message: message === undefined || message === '' ? code ?? 'the call failed' : message }
  }
}

/**
 * @param address - IP number and port
 * @returns `host:port`, with brackets around an IPv6 number
 */
export function formatHost (address: Address): string {
  return address.host.includes(':') ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`
}
