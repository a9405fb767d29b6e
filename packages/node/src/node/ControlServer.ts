import { timingSafeEqual, createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Address } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Most bytes of a control request's body. */
const MAX_BODY_BYTES = 2 * 1024 * 1024

/** Milliseconds in which a control request must have arrived. */
const REQUEST_TIMEOUT_MS = 10_000

/** Most characters of a path that are logged. */
const MAX_LOGGED_PATH_LENGTH = 128

/** A control request after its checks. */
export interface ControlRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
}

/** What a control request is answered with. */
export interface ControlResponse {
  status: number
  headers?: Record<string, string>
  body: string
}

/** Answers one control request. */
export type ControlHandler = (request: ControlRequest) => Promise<ControlResponse>

/** What a control server is made of. */
export interface ControlServerOptions {
  address: Address
  secret: string
  log: Log
  /** Paths that need no secret. */
  publicPaths: string[]
  handle: ControlHandler
}

/** Operators' HTTP. Every path but the open ones needs the shared secret. */
export class ControlServer {
  private readonly server: Server

  /** @param options - where to listen, the secret, and what answers */
  constructor (private readonly options: ControlServerOptions) {
    this.server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS }, (request, response) => {
      this.respond(request, response).catch((error: unknown) => {
        writeResponse(response, jsonResponse(500, { error: `the request failed inside the node: ${String(error)}; see its log` }))
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

  private async respond (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0]!
    const method = request.method ?? 'GET'
    if (!this.options.publicPaths.includes(path) && !this.isAuthorized(request)) {
      const address = request.socket.remoteAddress ?? ''
      this.options.log.write(EVENTS.operatorRefused, { method, path: path.slice(0, MAX_LOGGED_PATH_LENGTH), address })
      writeResponse(response, jsonResponse(401, { error: 'no or wrong secret; give it as Authorization: Bearer SECRET' }))
      return
    }
    const body = await readBody(request)
    if (body === null) {
      writeResponse(response, jsonResponse(413, { error: `the body is longer than ${MAX_BODY_BYTES} bytes; send less` }))
      return
    }
    writeResponse(response, await this.options.handle({ method, path, headers: request.headers, body }))
  }

  private isAuthorized (request: IncomingMessage): boolean {
    const authorization = request.headers.authorization ?? ''
    return timingSafeEqual(digest(authorization), digest(`Bearer ${this.options.secret}`))
  }
}

/**
 * @param status - HTTP status
 * @param content - what to write as JSON
 * @returns the answer
 */
export function jsonResponse (status: number, content: unknown): ControlResponse {
  return { status, headers: { 'content-type': 'application/json' }, body: JSON.stringify(content) + '\n' }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

function writeResponse (response: ServerResponse, content: ControlResponse): void {
  response.writeHead(content.status, { 'content-length': Buffer.byteLength(content.body), ...content.headers })
  response.end(content.body)
}

async function readBody (request: IncomingMessage): Promise<string | null> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length
    if (length > MAX_BODY_BYTES) return null
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
