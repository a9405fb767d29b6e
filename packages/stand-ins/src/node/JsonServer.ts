import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Address } from '@rattanstep/core'
import { parseJson } from '@rattanstep/platform'

/** Size limit of request bodies. */
const MAX_BODY_BYTES = 64 * 1024 * 1024

/** Answers one HTTP request. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** An HTTP server. If the handler throws, the request is answered with status 500 and the server continues. */
export class JsonServer {
  readonly server: Server

  /** @param handler - called for each request */
  constructor (handler: Handler) {
    this.server = createServer((request, response) => {
      handler(request, response).catch((error: unknown) => { answerError(response, error) })
    })
    this.server.keepAliveTimeout = 0
  }

  /**
   * @param address - address to listen on; port 0 picks a free port
   * @returns the address with the actual port
   */
  async listen (address: Address): Promise<Address> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(address.port, address.host, resolve)
    })
    const { port } = this.server.address() as AddressInfo
    return { host: address.host, port }
  }

  /** Closes the server and all connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }
}

/**
 * Reads the body of a request.
 *
 * @param request - a request
 * @returns the whole body
 * @throws Error when the body is longer than 64 MiB
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length
    if (length > MAX_BODY_BYTES) throw new Error(`the body is longer than ${MAX_BODY_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/**
 * Reads and parses a JSON body.
 *
 * @param request - a request
 * @returns the parsed body, or `undefined` when it is not JSON
 * @throws Error when the body is longer than 64 MiB
 */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  return parseJson(await readBody(request))
}

/**
 * Sends a JSON response.
 *
 * @param response - the response to send
 * @param status - HTTP status
 * @param content - content of the body
 */
export function answerJson (response: ServerResponse, status: number, content: unknown): void {
  const body = Buffer.from(JSON.stringify(content))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}

function answerError (response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  answerJson(response, 500, { fault: 'unknown', message: error instanceof Error ? error.message : String(error) })
}
