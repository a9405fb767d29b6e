import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { BodyBudget, BodyHolder } from './BodyBudget.js'
import { MessageFraming } from './MessageFraming.js'
import type { LimitName } from './LimitMonitor.js'
import type { ConnectionLimits } from './limits.js'

/**
 * What a connection waits for.
 *
 * - `idle`: the first byte of a request
 * - `head`: the rest of the head of a request
 * - `body`: the rest of a body
 * - `handler`: the response to the request
 * - `reader`: the other end, which has to read the responses
 */
export type ConnectionPhase = 'idle' | 'head' | 'body' | 'handler' | 'reader'

/** Options of a connection. */
export interface CallerConnectionOptions {
  socket: Socket
  /** Gives bytes to the HTTP parser, which may emit at most one request for them. */
  parse: (data: Buffer) => void
  limits: ConnectionLimits
  budget: BodyBudget
  now: () => number
  reach: (limit: LimitName) => void
}

/** A connection of a caller. It gives the HTTP parser one request at a time; what arrives meanwhile stays in the kernel's buffer. */
export class CallerConnection {
  private readonly framing = new MessageFraming()
  /** Bytes that were read and wait for the end of the present request. */
  private rest: Buffer | undefined
  private readonly restHolder: BodyHolder
  private request: IncomingMessage | undefined
  private response: ServerResponse | undefined
  private isBodyExpected = false
  private isResponseFinished = false
  private isFeeding = false
  private isPaused = false
  /** Monotonic ms of the start of the present or last pause, as long as bytes that are read may have arrived in it. */
  private pausedSince: number | undefined
  /** Requests in a row that were waiting when their turn came. */
  private pipelined = 0
  /** Phase and bytes in the socket's write buffer at the last check. */
  private wasReader = false
  private unwritten = 0
  /** Bytes of the head so far. */
  private headBytes = 0
  /** Monotonic ms of the start of the present phase, or of the last progress in it. */
  progressAt: number
  /** Monotonic ms from which the bytes that are parsed now may have waited. */
  arrivedAt: number

  private readonly onFinish = (): void => {
    this.isResponseFinished = true
    this.endRequest()
  }

  constructor (private readonly options: CallerConnectionOptions) {
    this.progressAt = this.arrivedAt = options.now()
    const { socket } = options
    this.restHolder = { received: 0, startedAt: this.progressAt, progressAt: this.progressAt, drop: () => { socket.destroy() } }
    socket.on('data', (data: Buffer) => { this.receive(data) })
    socket.on('drain', () => { this.continue() })
    socket.on('close', () => { options.budget.release(this.restHolder) })
  }

  get phase (): ConnectionPhase {
    if (this.isBodyExpected) return 'body'
    if (this.request !== undefined && this.response?.writableEnded !== true) return 'handler'
    if (this.options.socket.writableLength > 0) return 'reader'
    return this.headBytes > 0 ? 'head' : 'idle'
  }

  /**
   * Notes that a request was parsed.
   *
   * @returns whether it may be served; otherwise the connection was closed, since the former request is not complete
   */
  startRequest (request: IncomingMessage, response: ServerResponse): boolean {
    if (this.request !== undefined) {
      this.options.socket.destroy()
      return false
    }
    this.request = request
    this.response = response
    this.isResponseFinished = false
    this.headBytes = 0
    this.progressAt = this.options.now()
    const isChunked = request.headers['transfer-encoding'] !== undefined
    const length = Number(request.headers['content-length'] ?? 0)
    this.isBodyExpected = isChunked || length > 0
    if (this.isBodyExpected) this.framing.startBody(isChunked ? undefined : length)
    response.on('finish', this.onFinish)
    return true
  }

  /** Closes the connection if it has made no progress for too long. */
  check (now: number): void {
    const { socket, limits, reach } = this.options
    const { phase } = this
    const { writableLength } = socket
    if (phase === 'reader' && (!this.wasReader || writableLength < this.unwritten)) this.progressAt = now
    this.wasReader = phase === 'reader'
    this.unwritten = writableLength
    const timeout = { idle: limits.idleTimeout, head: limits.headTimeout, body: limits.bodyTimeout, reader: limits.responseTimeout, handler: Infinity }[phase]
    if (now - this.progressAt <= timeout) return
    reach(({ idle: 'idleTimeout', head: 'headTimeout', body: 'bodyTimeout', reader: 'responseTimeout', handler: 'responseTimeout' } as const)[phase])
    socket.destroy()
  }

  private receive (data: Buffer): void {
    if (!this.isPaused) this.arrivedAt = this.pausedSince ?? this.options.now()
    if (this.rest !== undefined || !this.canParse()) this.hold(this.rest === undefined ? data : Buffer.concat([this.rest, data]))
    else this.feed(data)
  }

  /** Keeps bytes until the present request is complete, and stops reading. */
  private hold (data: Buffer): void {
    const { socket, budget, now } = this.options
    this.rest = data
    if (!this.isPaused) {
      this.isPaused = true
      this.pausedSince = this.restHolder.progressAt = now()
      socket.pause()
    }
    // A paused socket may read once more into its own buffer.
    budget.reserve(this.restHolder, 2 * data.buffer.byteLength)
  }

  /** @returns whether the next bytes belong to the body of the present request or, if there is none, to the next request */
  private canParse (): boolean {
    const { socket } = this.options
    if (socket.destroyed || !socket.writable || this.isFeeding) return false
    return this.request === undefined ? socket.writableLength === 0 : this.isBodyExpected
  }

  private feed (data: Buffer): void {
    const { socket } = this.options
    let at = 0
    while (at < data.length && this.canParse()) {
      const { end, isComplete } = this.framing.advance(data, at)
      this.parsePart(at === 0 && end === data.length ? data : data.subarray(at, end), isComplete)
      at = end
    }
    if (at < data.length && !socket.destroyed && socket.writable) this.hold(data.subarray(at))
  }

  /** Parses a part of a head or body; `isLast`: whether the head or body ends with it. */
  private parsePart (part: Buffer, isLast: boolean): void {
    const { socket, parse, now } = this.options
    const isHead = this.request === undefined
    if (!isHead || this.headBytes === 0) this.progressAt = now()
    if (isHead) this.headBytes += part.length
    this.isFeeding = true
    try {
      parse(part)
    } finally {
      this.isFeeding = false
    }
    if (!isLast || socket.destroyed || !socket.writable) return
    if (!isHead) this.isBodyExpected = false
    // The parser and the framing must agree on where a message ends, or bytes of one request could be taken for another.
    if (this.request === undefined || (!this.isBodyExpected && !this.request.complete)) {
      socket.destroy()
      return
    }
    this.endRequest()
  }

  /** Ends the present request if it is read and answered. */
  private endRequest (): void {
    if (this.request === undefined || this.isBodyExpected || !this.isResponseFinished) return
    const { socket, now } = this.options
    this.request = this.response = undefined
    this.progressAt = now()
    if (this.isPaused && !this.isFeeding && !socket.destroyed) setImmediate(() => { this.continue() })
  }

  /** Parses what was held, then reads on. */
  private continue (): void {
    const { socket, limits, reach, budget } = this.options
    if (!this.isPaused || !this.canParse()) return
    const { rest } = this
    if (rest !== undefined) {
      if (++this.pipelined > limits.pipelinedRequests) {
        reach('pipelinedRequests')
        socket.destroy()
        return
      }
      this.rest = undefined
      budget.release(this.restHolder)
      this.feed(rest)
    }
    if (this.rest !== undefined || !this.canParse()) return
    if (rest === undefined) this.pipelined = 0
    socket.resume()
    this.isPaused = false
    // What is read now may have waited in the kernel's buffer since the start of the pause.
    setImmediate(() => { setImmediate(() => { if (!this.isPaused) this.pausedSince = undefined }) })
  }
}
