import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher as Undici } from 'undici'
import { Chart } from '@rattanstep/core'
import type { Address, Clock } from '@rattanstep/core'
import file from '../charts/connection.json' with { type: 'json' }
import type { ConnectionEvent, ConnectionState } from '../types/states.js'

/**
 * One connection to one worker. It opens one socket in its life, so that nothing is ever sent again
 * on another socket behind the front's back.
 */

const chart = new Chart<ConnectionState, ConnectionEvent>(file as ConstructorParameters<typeof Chart>[0])

/** Largest header of an answer, in bytes. */
const ANSWER_HEADER_BYTES = 64 * 1024

/** Longest time that an idle connection is kept, in ms. */
const IDLE_LIFETIME_MS = 4000

/** How a connection is made. */
export interface ConnectionOptions {
  address: Address
  clock: Clock
  /** Milliseconds that opening the socket may take. */
  connectTimeout: number
  /** Called once, when the socket is closed or could not be opened. */
  onClosed: (connection: Connection) => void
}

/** One HTTP/1.1 connection to a worker. */
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

  /** Whether the socket has been opened once. */
  get isOpened (): boolean {
    return this.socket !== null
  }

  /** Whether it counts among the worker's connections no longer. */
  get isClosed (): boolean {
    return chart.isFinal(this.state)
  }

  /** Monotonic ms of the last sign of life from the worker. */
  get lastActivityAt (): number {
    return this.activityAt
  }

  /** Whether the error came from the socket after its last byte, so that the end of the stream means nothing. */
  get isErrored (): boolean {
    return this.hasSocketError
  }

  /** Notes a sign of life from the worker. */
  markActive (): void {
    this.activityAt = this.options.clock.now()
  }

  /**
   * Sends one request.
   *
   * @param request - what to send
   * @param handler - is told what happens
   */
  dispatch (request: Omit<Undici.DispatchOptions, 'origin'>, handler: Undici.DispatchHandler): void {
    this.transition('take')
    this.client.dispatch(request, handler)
  }

  /** Lets another request use the connection. */
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
      callback(new Error('the connection has ended'), null)
      return
    }
    const { address, clock, connectTimeout } = this.options
    const socket = connect({ host: address.host, port: address.port, noDelay: true })
    this.socket = socket
    const timer = clock.schedule(connectTimeout, () => { socket.destroy(new Error(`no connection to ${address.host}:${address.port} within ${connectTimeout} ms`)) })
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
      settle(new Error('the connection was closed while it opened'))
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
