import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher as Undici } from 'undici'
import { Chart } from '@rattanstep/core'
import type { Address, Clock } from '@rattanstep/core'
import file from '../charts/connection.json' with { type: 'json' }
import type { ConnectionEvent, ConnectionState } from '../types/states.js'

const chart = new Chart<ConnectionState, ConnectionEvent>(file as ConstructorParameters<typeof Chart>[0])

/** Largest header of an answer, in bytes. */
const ANSWER_HEADER_BYTES = 64 * 1024

/** Time after which an idle connection is closed, in ms. */
const IDLE_LIFETIME_MS = 4000

/** Options of `Connection`. */
export interface ConnectionOptions {
  address: Address
  clock: Clock
  /** Maximum ms to open the socket. */
  connectTimeout: number
  /** Called once, when the socket has closed or could not be opened. */
  onClosed: (connection: Connection) => void
}

/**
 * One HTTP/1.1 connection to a worker. It opens a single socket and never another, so that the HTTP client cannot send a
 * request again on a new socket without the front's knowledge.
 */
export class Connection {
  private readonly client: Client
  private socket: Socket | null = null
  private state: ConnectionState = chart.initial
  private activityAt = -Infinity
  private hasSocketError = false

  constructor (private readonly options: ConnectionOptions) {
    const { address } = options
    this.client = new Client(`http://${formatHost(address.host)}:${address.port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: ANSWER_HEADER_BYTES,
      keepAliveTimeout: IDLE_LIFETIME_MS,
      keepAliveMaxTimeout: IDLE_LIFETIME_MS,
      connect: (_, callback) => { this.open(callback) }
    })
    this.client.on('disconnect', () => { this.handleDisconnect() })
    this.client.on('connectionError', () => { this.handleDisconnect() })
  }

  /** Whether a request can be sent now. */
  get isIdle (): boolean {
    return this.state === 'idle' || this.state === 'unused'
  }

  /** Whether opening the socket has begun. */
  get isOpened (): boolean {
    return this.socket !== null
  }

  /** Whether the connection is closed and no longer counts towards the worker's limit. */
  get isClosed (): boolean {
    return chart.isFinal(this.state)
  }

  /** Monotonic ms of the last activity of the worker on this connection; `-Infinity` before the first. */
  get lastActivityAt (): number {
    return this.activityAt
  }

  /** Whether the socket has failed, so that the end of the stream does not mark the end of an answer. */
  get isErrored (): boolean {
    return this.hasSocketError
  }

  /** Records activity of the worker. */
  markActive (): void {
    this.activityAt = this.options.clock.now()
  }

  /**
   * Sends one request.
   *
   * @param request - the request to send
   * @param handler - receives the events of the request
   */
  dispatch (request: Omit<Undici.DispatchOptions, 'origin'>, handler: Undici.DispatchHandler): void {
    this.transition('take')
    this.client.dispatch(request, handler)
  }

  /** Makes the connection available to another request. */
  free (): void {
    this.transition('free')
  }

  /** Closes the socket at once and never uses it again. */
  close (): void {
    if (!this.transition('close')) return
    this.socket?.destroy()
    this.client.destroy().then(() => { this.handleDisconnect() }, () => { this.handleDisconnect() })
  }

  private open (callback: (...args: [null, Socket] | [Error, null]) => void): void {
    if (this.socket !== null) {
      callback(new Error('the connection has already been opened once'), null)
      return
    }
    const { address, clock, connectTimeout } = this.options
    const socket = connect({ host: address.host, port: address.port, noDelay: true })
    this.socket = socket
    const timer = clock.schedule(connectTimeout, () => { socket.destroy(new Error(`could not connect to ${address.host}:${address.port} within ${connectTimeout} ms`)) })
    let settled = false
    const settle = (error: Error | null): void => {
      if (settled) return
      settled = true
      timer.cancel()
      if (error !== null) {
        callback(error, null)
        return
      }
      this.markActive()
      callback(null, socket)
    }
    socket.once('connect', () => { settle(null) })
    socket.once('error', error => {
      this.hasSocketError = true
      settle(error)
    })
    socket.once('close', () => {
      settle(new Error('the connection was closed before it was established'))
      this.handleDisconnect()
    })
  }

  private handleDisconnect (): void {
    if (this.socket !== null && !this.socket.closed && !this.socket.destroyed) return
    if (!this.transition('closed')) return
    this.client.destroy().catch(() => {})
    this.options.onClosed(this)
  }

  private transition (event: ConnectionEvent): boolean {
    const next = chart.next(this.state, event)
    if (next === null) return false
    this.state = next
    return true
  }
}

function formatHost (host: string): string {
  return host.includes(':') ? `[${host}]` : host
}
