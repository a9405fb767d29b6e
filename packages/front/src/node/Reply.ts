import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Outcome, StoredAnswer } from '@rattanstep/core'
import type { Problem } from '../types/Problem.js'
import type { AnswerHead, HeaderList } from '../types/run.js'
import { endToEnd } from './headers.js'

const MS_PER_SECOND = 1000

const EMPTY_BUFFER = Buffer.alloc(0)

/** The answer to one request. Everything that is passed after its end is ignored. */
export class Reply {
  constructor (
    private readonly response: ServerResponse,
    private readonly socket: Socket,
    private readonly request: string,
    private readonly isClosing: () => boolean
  ) {}

  /** Whether the head has been sent. */
  get isStarted (): boolean {
    return this.response.headersSent
  }

  /** Whether no earlier answer has to be sent first on the same connection. */
  get isHeadOfLine (): boolean {
    return this.response.socket !== null
  }

  /** Whether nothing more can be sent. */
  get isClosed (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /**
   * Answers with a problem document of the front itself. Does nothing when an answer was started.
   *
   * @param problem - the problem
   */
  sendProblem (problem: Problem): void {
    if (this.isStarted || this.isClosed) return
    const { status, outcome, code, detail, retryAfter } = problem
    const body = JSON.stringify({ type: `urn:rattanstep:${code}`, title: STATUS_CODES[status], status, detail, outcome, request: this.request })
    const headers: HeaderList = [
      ['content-type', 'application/problem+json'],
      ['content-length', String(Buffer.byteLength(body))]
    ]
    if (retryAfter > 0) headers.push(['retry-after', String(Math.ceil(retryAfter / MS_PER_SECOND))])
    this.writeHead(status, STATUS_CODES[status] ?? '', headers, outcome)
    this.response.end(body)
  }

  /**
   * Sends the head of an endpoint's answer.
   *
   * @param head - the head as the endpoint sent it
   */
  sendHead (head: AnswerHead): void {
    if (this.isClosed) return
    if (head.framing === 'until-close') {
      this.response.useChunkedEncodingByDefault = false
      this.response.shouldKeepAlive = false
    }
    this.writeHead(head.status, head.message, head.headers, 'run')
    // Writing an empty buffer sends the bytes of the head unchanged; `flushHeaders` would encode them as UTF-8.
    this.response.write(EMPTY_BUFFER)
  }

  /**
   * Sends bytes of the body.
   *
   * @param chunk - next bytes of the answer
   * @returns `false` to wait for `onDrain` before sending more
   */
  sendChunk (chunk: Buffer): boolean {
    if (this.isClosed) return true
    return this.response.write(chunk)
  }

  /**
   * @param callback - called once, when everything sent so far has been handed to the operating system
   */
  onDrain (callback: () => void): void {
    this.response.once('drain', callback)
  }

  /**
   * Ends a complete answer.
   *
   * @param trailers - fields after the body
   */
  finish (trailers: HeaderList): void {
    if (this.isClosed) return
    if (trailers.length > 0 && this.response.chunkedEncoding) this.response.addTrailers(trailers)
    this.response.end()
  }

  /**
   * Sends a stored answer again.
   *
   * @param answer - the stored answer, without the hash of credentials
   */
  replay (answer: StoredAnswer): void {
    if (this.isStarted || this.isClosed) return
    this.writeHead(answer.status, STATUS_CODES[answer.status] ?? '', endToEnd(answer.headers), 'run')
    this.response.end(Buffer.from(answer.body, 'base64'))
  }

  /** Resets the caller's connection, so that the caller cannot take the answer for a complete one. */
  cut (): void {
    this.socket.resetAndDestroy()
    this.response.destroy()
  }

  private writeHead (status: number, message: string, headers: HeaderList, outcome: Outcome): void {
    const flat: string[] = []
    for (const [name, value] of headers) flat.push(name, value)
    flat.push('rattanstep-outcome', outcome, 'rattanstep-request', this.request)
    if (this.isClosing()) flat.push('connection', 'close')
    this.response.writeHead(status, message, flat)
  }
}
