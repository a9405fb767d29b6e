import { timingSafeEqual, createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Address } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

const MAX_BODY_BYTES = 2 * 1024 * 1024

/** Time within which a whole request must be received. */
const REQUEST_TIMEOUT_MS = 10_000

const MAX_LOGGED_PATH_LENGTH = 128

/** An authorised control request with its complete body. */
export interface ControlRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
}

/** Response to a control request. */
export interface ControlResponse {
  status: number
  headers?: Record<string, string>
  body: string
}

/** Handles one control request. */
export type ControlHandler = (request: ControlRequest) => Promise<ControlResponse>

/** Options of a control server. */
export interface ControlServerOptions {
  address: Address
  secret: string
  log: Log
  /** Paths that need no secret. */
  publicPaths: string[]
  handle: ControlHandler
}

/** HTTP server of the control interface. Every path except the public ones requires the shared secret. */
export class ControlServer {
  private readonly server: Server

  /** @param options - address, secret, public paths and request handler */
  constructor (private readonly options: ControlServerOptions) {
    this.server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS }, (request, response) => {
      this.respond(request, response).catch((error: unknown) => {
        writeResponse(response, jsonResponse(500, { error: `the node failed to handle the request: ${String(error)}; see its log` }))
      })
    })
  }

  /**
   * Starts listening.
   *
   * @returns the bound address
   * @throws Error when the address cannot be bound
   */
  async listen (): Promise<Address> {
    const { host, port } = this.options.address
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const bound = this.server.address()
    return { host, port: typeof bound === 'object' && bound !== null ? bound.port : port }
  }

  /** Stops listening and closes every connection. */
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
      writeResponse(response, jsonResponse(401, { error: 'the secret is missing or wrong; send it as Authorization: Bearer SECRET' }))
      return
    }
    const body = await readBody(request)
    if (body === null) {
      writeResponse(response, jsonResponse(413, { error: `the body is longer than the limit of ${MAX_BODY_BYTES} bytes; send a shorter one` }))
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
 * Creates a JSON response.
 *
 * @param status - HTTP status
 * @param content - value to serialise
 * @returns the response
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
