import { timingSafeEqual, createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Address } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Most bytes of a control request's body. */
const LARGEST_BODY = 2 * 1024 * 1024

/** Milliseconds in which a control request must have arrived. */
const REQUEST_TIMEOUT_MS = 10_000

/** Most characters of a path that are logged. */
const LONGEST_LOGGED = 128

/** A control request after its checks. */
export interface ControlRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
}

/** What a control request is answered with. */
export interface ControlAnswer {
  status: number
  headers?: Record<string, string>
  body: string
}

/** Answers one control request. */
export type ControlHandler = (request: ControlRequest) => Promise<ControlAnswer>

/** What a control server is made of. */
export interface ControlServerOptions {
  address: Address
  secret: string
  log: Log
  /** Paths that need no secret. */
  open: string[]
  handle: ControlHandler
}

/** Operators' HTTP. Every path but the open ones needs the shared secret. */
export class ControlServer {
  private readonly server: Server

  /** @param options - where to listen, the secret, and what answers */
  constructor (private readonly options: ControlServerOptions) {
    this.server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS }, (request, response) => {
      this.answer(request, response).catch((error: unknown) => {
        write(response, jsonAnswer(500, { error: `the request failed inside the node: ${String(error)}; see its log` }))
      })
    })
  }

  /** @returns the address listened on */
  async listen (): Promise<Address> {
    const { host, port } = this.options.address
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const bound = this.server.address()
    return { host, port: typeof bound === 'object' && bound !== null ? bound.port : port }
  }

  /** Ends every connection. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0]!
    const method = request.method ?? 'GET'
    if (!this.options.open.includes(path) && !this.isOperator(request)) {
      const address = request.socket.remoteAddress ?? ''
      this.options.log.write(EVENTS.operatorRefused, { method, path: path.slice(0, LONGEST_LOGGED), address })
      write(response, jsonAnswer(401, { error: 'no or wrong secret; give it as Authorization: Bearer SECRET' }))
      return
    }
    const body = await readBody(request)
    if (body === null) {
      write(response, jsonAnswer(413, { error: `the body is longer than ${LARGEST_BODY} bytes; send less` }))
      return
    }
    write(response, await this.options.handle({ method, path, headers: request.headers, body }))
  }

  private isOperator (request: IncomingMessage): boolean {
    const given = request.headers.authorization ?? ''
    return timingSafeEqual(digest(given), digest(`Bearer ${this.options.secret}`))
  }
}

/**
 * @param status - HTTP status
 * @param content - what to write as JSON
 * @returns the answer
 */
export function jsonAnswer (status: number, content: unknown): ControlAnswer {
  return { status, headers: { 'content-type': 'application/json' }, body: JSON.stringify(content) + '\n' }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

function write (response: ServerResponse, answer: ControlAnswer): void {
  response.writeHead(answer.status, { 'content-length': Buffer.byteLength(answer.body), ...answer.headers })
  response.end(answer.body)
}

async function readBody (request: IncomingMessage): Promise<string | null> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length
    if (length > LARGEST_BODY) return null
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
