import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Address, Clock } from '@rattanstep/core'
import type { ResolvedLimits } from '@rattanstep/rules'
import { onResponseClosed } from './onResponseClosed.js'

/** Interval at which the server checks for callers that exceed the header timeout, in ms. */
const HEADER_CHECK_PERIOD_MS = 250

/** Time after which an idle connection of a caller is closed, in ms. */
const KEEP_ALIVE_MS = 30_000

/** Time for which the rest of an unneeded request body is read after the answer, in ms. */
const LINGER_MS = 2000

/** Number of connections that are accepted for each request that may be in flight. */
const CONNECTIONS_PER_REQUEST = 2

/** A request whose head was received. */
export interface ReceivedRequest {
  message: IncomingMessage
  response: ServerResponse
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  expectsContinue: boolean
}

/** Options of `CallerServer`. */
export interface CallerServerOptions {
  address: Address
  clock: Clock
  limits: () => ResolvedLimits
  onRequest: (received: ReceivedRequest) => void
  /** Called for bytes that are not a valid request, and for CONNECT and expectations that are not supported. */
  onMalformed: (remote: string, code: string, status: number) => void
}

const PARSER_STATUSES: Record<string, number> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408
}

const REASON_PHRASES: Record<number, string> = {
  400: 'Bad Request',
  405: 'Method Not Allowed',
  408: 'Request Timeout',
  417: 'Expectation Failed',
  431: 'Request Header Fields Too Large'
}

/** HTTP server for callers. It answers malformed requests itself. */
export class CallerServer {
  private readonly server: Server
  private readonly inFlight = new WeakMap<Duplex, number>()
  private readonly pendingRejections = new WeakMap<Duplex, () => void>()
  /** The latest request on each connection. */
  private readonly latestRequest = new WeakMap<Duplex, IncomingMessage>()
  private sequence = 0

  constructor (private readonly options: CallerServerOptions) {
    const limits = options.limits()
    this.server = createServer({
      maxHeaderSize: limits.header,
      headersTimeout: limits.headerTimeout,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectionsCheckingInterval: HEADER_CHECK_PERIOD_MS,
      requireHostHeader: false,
      noDelay: true
    })
    this.server.maxConnections = limits.callers * CONNECTIONS_PER_REQUEST
    // Each pipelined request adds listeners to its socket, so their number has no fixed limit.
    this.server.on('connection', socket => { socket.setMaxListeners(0) })
    this.server.on('request', (message, response) => { this.handleRequest({ message, response, expectsContinue: false }) })
    this.server.on('checkContinue', (message, response) => { this.handleRequest({ message, response, expectsContinue: true }) })
    this.server.on('checkExpectation', (message, response) => { this.reject(message.socket, 'expectation', 417); response.destroy() })
    this.server.on('connect', (_message, socket) => { this.reject(socket, 'connect', 405) })
    this.server.on('clientError', (error: Error & { code?: string }, socket) => { this.handleParserError(error.code ?? 'unknown', socket) })
  }

  /** @returns the address that the server listens on */
  async listen (): Promise<Address> {
    const { host, port } = this.options.address
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port }, () => {
        this.server.off('error', reject)
        resolve()
      })
    })
    const bound = this.server.address() as AddressInfo
    return { host: bound.address, port: bound.port }
  }

  /** Stops accepting connections and closes those that are idle. */
  stop (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Stops accepting connections and closes all of them at once. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private handleRequest (received: ReceivedRequest): void {
    const { message, response } = received
    const socket = message.socket
    this.server.headersTimeout = this.options.limits().headerTimeout
    this.inFlight.set(socket, (this.inFlight.get(socket) ?? 0) + 1)
    this.latestRequest.set(socket, message)
    onResponseClosed(message, response, () => { this.handleResponseClosed(message, socket) })
    response.on('error', () => {})
    message.on('error', () => {})
    this.options.onRequest(received)
  }

  private handleResponseClosed (message: IncomingMessage, socket: Socket): void {
    const left = (this.inFlight.get(socket) ?? 1) - 1
    this.inFlight.set(socket, left)
    if (left === 0) this.pendingRejections.get(socket)?.()
    if (message.complete || socket.destroyed) return
    const timer = this.options.clock.schedule(LINGER_MS, () => { socket.destroy() })
    const cancel = (): void => { timer.cancel() }
    message.once('end', cancel)
    message.once('close', cancel)
  }

  private handleParserError (code: string, socket: Duplex): void {
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const status = PARSER_STATUSES[code] ?? 400
    if ((this.inFlight.get(socket) ?? 0) === 0) {
      this.reject(socket, code, status)
      return
    }
    this.rejectAfterResponses(code, status, socket)
  }

  /** Rejects the bytes once all requests in flight on the connection were answered, so that the caller matches each answer to its request. */
  private rejectAfterResponses (code: string, status: number, socket: Duplex): void {
    const last = this.latestRequest.get(socket)
    const isBody = last?.complete === false
    this.pendingRejections.set(socket, () => {
      if (isBody) socket.end()
      else this.reject(socket, code, status)
    })
    if (isBody) last!.emit('error', new Error(code))
  }

  private reject (socket: Duplex, code: string, status: number): void {
    const remote = (socket as Socket).remoteAddress ?? ''
    this.options.onMalformed(remote, code, status)
    const detail = `The bytes are no request that can be taken (${code}); send HTTP/1.1 as RFC 9112 has it.`
    const body = JSON.stringify({ type: 'urn:rattanstep:malformed', title: REASON_PHRASES[status], status, detail, outcome: 'not-run' })
    const head = [
      `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? ''}`,
      'content-type: application/problem+json',
      `content-length: ${Buffer.byteLength(body)}`,
      'rattanstep-outcome: not-run',
      `rattanstep-request: malformed-${this.sequence++}`,
      'connection: close'
    ]
    if (socket.writable) socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
  }
}
