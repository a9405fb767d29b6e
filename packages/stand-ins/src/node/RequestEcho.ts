import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@rattanstep/core'
import { parseEchoOptions } from '../runtime/parseEchoOptions.js'
import type { EchoOptions } from '../runtime/parseEchoOptions.js'
import { readBody } from './JsonServer.js'

/** Header with the identifier that the product gives a request. Runs are counted by it to find duplicates. */
const REQUEST_ID_HEADER = 'rattanstep-request'

/** Header with the identifier that a caller gives its request and keeps when it sends the request again. */
const TAG_HEADER = 'echo-tag'
const CHUNK_BYTES = 65536
const FILLER_BYTE = 0x61

/** Echoes callers' requests and counts them. */
export class RequestEcho {
  /** Number of requests in progress. */
  running = 0
  /** Highest number of requests that were in progress at once. */
  maxRunning = 0
  /** Number of runs of each request, by the product's identifier. */
  readonly countsById = new Map<string, number>()
  /** Number of runs of each request, by the caller's tag. */
  readonly countsByTag = new Map<string, number>()
  private readonly clock: Clock
  private readonly worker: string
  private readonly onStart: () => void

  /**
   * @param options - `worker`: identifier of the worker; `clock`: clock for delays; `onStart`: called when a request starts
   */
  constructor (options: { worker: string, clock: Clock, onStart: () => void }) {
    this.worker = options.worker
    this.clock = options.clock
    this.onStart = options.onStart
  }

  /**
   * Answers a request as its headers or query parameters ask.
   *
   * @param request - a caller's request
   * @param response - its response
   * @throws Error when the body of the request is too long
   */
  async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://worker')
    const options = parseEchoOptions(request.headers, url.searchParams)
    const id = request.headers[REQUEST_ID_HEADER]
    const tag = request.headers[TAG_HEADER]
    if (typeof id === 'string') this.countsById.set(id, (this.countsById.get(id) ?? 0) + 1)
    if (typeof tag === 'string') this.countsByTag.set(tag, (this.countsByTag.get(tag) ?? 0) + 1)
    const closed = this.trackRequest(response)
    try {
      const body = await readBody(request)
      if (options.delay > 0) await Promise.race([this.clock.sleep(options.delay), closed])
      if (options.hangs) await closed
      if (response.destroyed) return
      await this.send(response, options, options.bodySize === null ? this.createEchoBody(request, url, body) : Buffer.alloc(options.bodySize, FILLER_BYTE))
    } catch (error) {
      response.destroy()
      if (!request.destroyed) throw error
    }
  }

  private trackRequest (response: ServerResponse): Promise<void> {
    this.running++
    this.maxRunning = Math.max(this.maxRunning, this.running)
    this.onStart()
    return new Promise(resolve => {
      response.once('close', () => {
        this.running--
        resolve()
      })
    })
  }

  private createEchoBody (request: IncomingMessage, url: URL, body: Buffer): Buffer {
    if (body.length > 0) return body
    return Buffer.from(JSON.stringify({ worker: this.worker, method: request.method, path: url.pathname + url.search }))
  }

  private async send (response: ServerResponse, options: EchoOptions, body: Buffer): Promise<void> {
    response.writeHead(options.status, { 'content-length': body.length, 'rattanstep-worker': this.worker })
    if (options.cutAfter !== null) {
      response.write(body.subarray(0, options.cutAfter), () => { response.destroy() })
      return
    }
    for (let offset = 0; offset < body.length; offset += CHUNK_BYTES) {
      if (response.write(body.subarray(offset, offset + CHUNK_BYTES))) continue
      await waitForDrain(response)
      if (response.destroyed) return
    }
    response.end()
  }
}

async function waitForDrain (response: ServerResponse): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = (): void => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.on('drain', finish)
    response.on('close', finish)
  })
}
