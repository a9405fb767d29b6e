import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { detach } from '../runtime/detach.js'
import { BodyBudget } from './BodyBudget.js'
import type { BodyHolder } from './BodyBudget.js'
import { BodyBuffer } from './BodyBuffer.js'
import { CallerConnection } from './CallerConnection.js'
import type { ConnectionPhase } from './CallerConnection.js'
import type { LimitMonitor, LimitName } from './LimitMonitor.js'
import type { ConnectionLimits } from './limits.js'

/** Interval at which connections are checked for progress. */
const CHECK_INTERVAL_MS = 500
/** How long a connection is kept between requests, as callers are told. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000
/** Time without progress from which an unfinished request may be closed for a new connection. */
const MIN_CLOSABLE_MS = 200
/** Longest time for which the rest of a refused body is read and discarded, so that its sender sees the response and not a reset connection. */
const DISCARD_TIMEOUT_MS = 2000
/** Phases in which a connection may be closed for a new one, in this order. A connection whose request is being handled is never closed. */
const CLOSABLE_PHASES: readonly ConnectionPhase[] = ['reader', 'idle', 'head', 'body']

const NO_BODY: BodyOutcome = { kind: 'complete', text: '' }

/** A response without the headers of the transport. */
export interface PortReply {
  status: number
  headers?: Record<string, string | number>
  body?: string
  /** Whether to close the connection. */
  close?: boolean
}

/** A request as its handler sees it. */
export interface PortRequest {
  message: IncomingMessage
  /** Monotonic ms from which the request may have waited. */
  arrivedAt: number
  /** Reads a body of up to `limit` bytes. What it takes is held until the response is sent. */
  readBody: (limit: number) => Promise<BodyOutcome>
}

/** Outcome of reading a body; `closed`: the connection ended before the body did, or was closed because the process has no room for the body. */
export type BodyOutcome = { kind: 'complete', text: string } | { kind: 'too-large' } | { kind: 'closed' }

/** Options of a server. */
export interface PortServerOptions {
  clock: Clock
  log: Log
  limits: ConnectionLimits
  /** Bytes for bodies and for what was read ahead, of all connections. */
  bodyBytes: number
  monitor: LimitMonitor
  /** The limit that is reached when there are too many connections. */
  connectionLimit: LimitName
  handle: (request: PortRequest) => Promise<PortReply>
}

/** HTTP server with bounds on what its clients can make it hold. */
export class PortServer {
  private readonly server: Server
  private readonly connections = new Map<Socket, CallerConnection>()
  private readonly budget: BodyBudget
  private readonly timer: Timer

  constructor (private readonly options: PortServerOptions) {
    const { clock, log, limits, monitor, bodyBytes } = options
    this.budget = new BodyBudget({ limit: bodyBytes, now: () => clock.now(), onDrop: () => { monitor.reach('bodyBytes') } })
    // Times are checked by this class. A missing host is refused by it too, because the parser would go on with the next request after its own refusal.
    this.server = createServer({ maxHeaderSize: limits.headBytes, headersTimeout: 0, requestTimeout: 0, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requireHostHeader: false })
    this.server.maxHeadersCount = limits.headCount + 1
    this.server.on('connection', (socket: Socket) => { this.accept(socket) })
    const serve = (request: IncomingMessage, response: ServerResponse): void => { detach(this.serve(request, response), log, 'request of a client') }
    this.server.on('request', serve)
    this.server.on('checkContinue', serve)
    this.server.on('checkExpectation', serve)
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { this.handleClientError(error, socket) })
    this.timer = clock.repeat(CHECK_INTERVAL_MS, () => { this.checkConnections() })
  }

  /** @returns number of open connections */
  get size (): number {
    return this.connections.size
  }

  /** @returns bytes that bodies and bytes read ahead hold */
  get heldBytes (): number {
    return this.budget.used
  }

  listen (host: string, port: number): void {
    this.server.listen(port, host)
  }

  /** Stops accepting connections and closes idle ones. */
  close (): void {
    this.timer.cancel()
    this.server.close()
    this.server.closeIdleConnections()
    for (const [socket, connection] of this.connections) if (connection.phase === 'idle') socket.destroy()
  }

  private accept (socket: Socket): void {
    const { limits, clock, monitor, connectionLimit } = this.options
    if (this.connections.size >= limits.connections) {
      monitor.reach(connectionLimit)
      const closed = this.findClosable() ?? socket
      this.connections.delete(closed)
      closed.destroy()
      if (closed === socket) return
    }
    const [parse] = socket.listeners('data')
    const connection = new CallerConnection({
      socket, limits, budget: this.budget, now: () => clock.now(), reach: limit => { monitor.reach(limit) }, parse: data => { parse!.call(socket, data) }
    })
    // With a listener of its own, the server reads through the socket; its former one gets the bytes from the connection, one message at a time.
    socket.off('data', parse as () => void)
    this.connections.set(socket, connection)
    socket.once('close', () => { this.connections.delete(socket) })
  }

  /** @returns the connection that has waited longest for its other end */
  private findClosable (): Socket | undefined {
    const now = this.options.clock.now()
    let best: { socket: Socket, rank: number, progressAt: number } | undefined
    for (const [socket, { phase, progressAt }] of this.connections) {
      const rank = CLOSABLE_PHASES.indexOf(phase)
      // A request that has just made progress is as likely to be an ordinary caller's as the new one.
      if (rank < 0 || ((phase === 'head' || phase === 'body') && now - progressAt < MIN_CLOSABLE_MS)) continue
      if (best === undefined || rank < best.rank || (rank === best.rank && progressAt < best.progressAt)) best = { socket, rank, progressAt }
    }
    return best?.socket
  }

  private checkConnections (): void {
    const now = this.options.clock.now()
    for (const connection of this.connections.values()) connection.check(now)
  }

  private handleClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'HPE_HEADER_OVERFLOW') this.options.monitor.reach('headBytes')
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => { socket.destroy() })
  }

  private async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.connections.get(message.socket)
    if (connection === undefined || !connection.startRequest(message, response)) return
    let reader: BodyReader | undefined
    const readBody = async (limit: number): Promise<BodyOutcome> => {
      const { headers } = message
      if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) return NO_BODY
      reader = new BodyReader({ message, response, budget: this.budget, clock: this.options.clock })
      return await reader.read(limit)
    }
    try {
      const reply = this.findRefusal(message) ?? await this.options.handle({ message, arrivedAt: connection.arrivedAt, readBody })
      if (message.socket.destroyed) return
      this.writeReply(message, response, reply)
      if (!response.writableEnded) await this.discardRest(message, response)
    } finally {
      reader?.release()
    }
  }

  private findRefusal (message: IncomingMessage): PortReply | undefined {
    const { limits, monitor } = this.options
    if (message.rawHeaders.length > 2 * limits.headCount) {
      monitor.reach('headCount')
      return { status: 431, close: true }
    }
    if (message.httpVersion === '1.1' && message.headers.host === undefined) return { status: 400, close: true }
    const { expect } = message.headers
    return expect !== undefined && expect.toLowerCase() !== '100-continue' ? { status: 417 } : undefined
  }

  /** Writes a response. It is ended later if there is more of the body to read, which the sender may go on sending until it has read the response. */
  private writeReply (message: IncomingMessage, response: ServerResponse, { status, headers = {}, body = '', close = false }: PortReply): void {
    // A body that the sender still waits to be asked for is not read after a refusal.
    const isRestRefused = !message.complete && (message.headers.expect !== undefined || message.headers['content-length'] === undefined || close)
    headers['content-length'] = Buffer.byteLength(body)
    if (close || isRestRefused) headers.connection = 'close'
    response.writeHead(status, headers)
    if (message.complete) {
      response.end(body)
      return
    }
    response.flushHeaders()
    if (body !== '') response.write(body)
  }

  /** Reads the rest of a body, then ends the response. */
  private async discardRest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this.options.clock.schedule(DISCARD_TIMEOUT_MS, resolve)
      const end = (): void => {
        timer.cancel()
        resolve()
      }
      message.once('end', end).once('close', end).once('error', end)
      message.resume()
    })
    if (message.complete) response.end()
    else message.socket.destroy()
  }
}

/** Reads the body of one request. */
class BodyReader implements BodyHolder {
  received = 0
  readonly startedAt: number
  progressAt: number
  private pinned = 0
  private unpin: (() => void) | undefined
  private resolve: ((outcome: BodyOutcome) => void) | undefined

  constructor (private readonly options: { message: IncomingMessage, response: ServerResponse, budget: BodyBudget, clock: Clock }) {
    this.startedAt = this.progressAt = options.clock.now()
  }

  async read (limit: number): Promise<BodyOutcome> {
    const { message, response, budget, clock } = this.options
    const announced = message.headers['content-length']
    const expected = announced === undefined ? undefined : Number(announced)
    if (expected !== undefined && expected > limit) return { kind: 'too-large' }
    if (message.headers.expect !== undefined) response.writeContinue()
    const buffer = new BodyBuffer({
      limit,
      expected,
      reserve: bytes => {
        this.pinned = bytes
        return budget.reserve(this, bytes)
      }
    })
    return await new Promise<BodyOutcome>(resolve => {
      const end = (outcome: BodyOutcome): void => {
        if (this.resolve === undefined) return
        this.resolve = undefined
        message.off('data', add)
        budget.release(this)
        resolve(outcome)
      }
      const add = (piece: Buffer): void => {
        this.received += piece.length
        this.progressAt = clock.now()
        const outcome = buffer.append(piece)
        if (outcome === 'too-large') end({ kind: 'too-large' })
      }
      this.resolve = end
      message.on('data', add)
      message.once('end', () => {
        if (this.resolve === undefined) return
        this.unpin = budget.pin(this.pinned)
        end({ kind: 'complete', text: buffer.take() })
      })
      message.once('close', () => { end({ kind: 'closed' }) })
      message.once('error', () => { end({ kind: 'closed' }) })
    })
  }

  /** Closes the connection, because there is no room for the body. */
  drop (): void {
    this.resolve?.({ kind: 'closed' })
    this.options.message.socket.destroy()
  }

  /** Frees what a complete body holds. */
  release (): void {
    this.unpin?.()
    this.options.budget.release(this)
  }
}
