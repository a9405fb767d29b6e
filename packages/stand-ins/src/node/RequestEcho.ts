import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@rattanstep/core'
import { readKnobs } from '../runtime/echoKnobs.js'
import type { EchoKnobs } from '../runtime/echoKnobs.js'
import { readBody } from './JsonServer.js'

/** Header that names a request, by which doubles are counted. */
const REQUEST_HEADER = 'rattanstep-request'

/** Header by which a caller names its request over all sendings. */
const TAG_HEADER = 'echo-tag'
const CHUNK_BYTES = 65536
const FILLER = 0x61

/** Answers callers' requests by echo and counts them. */
export class RequestEcho {
  /** Requests that run now. */
  running = 0
  /** Most requests that ran at once. */
  peak = 0
  /** How often each named request was run. */
  readonly counts = new Map<string, number>()
  /** How often each request that its caller tagged was run. */
  readonly tags = new Map<string, number>()
  private readonly clock: Clock
  private readonly worker: string
  private readonly onStart: () => void

  /** @param options - `onStart`: called when one more request runs */
  constructor (options: { worker: string, clock: Clock, onStart: () => void }) {
    this.worker = options.worker
    this.clock = options.clock
    this.onStart = options.onStart
  }

  /**
   * @param request - a caller's request
   * @param response - where to answer
   */
  async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://worker')
    const knobs = readKnobs(request.headers, url.searchParams)
    const id = request.headers[REQUEST_HEADER]
    const tag = request.headers[TAG_HEADER]
    if (typeof id === 'string') this.counts.set(id, (this.counts.get(id) ?? 0) + 1)
    if (typeof tag === 'string') this.tags.set(tag, (this.tags.get(tag) ?? 0) + 1)
    const ended = this.begin(response)
    try {
      const body = await readBody(request)
      if (knobs.time > 0) await Promise.race([this.clock.sleep(knobs.time), ended])
      if (knobs.hang) await ended
      if (response.destroyed) return
      await this.send(response, knobs, knobs.size === null ? this.echo(request, url, body) : Buffer.alloc(knobs.size, FILLER))
    } catch (error) {
      response.destroy()
      if (!request.destroyed) throw error
    }
  }

  private begin (response: ServerResponse): Promise<void> {
    this.running++
    this.peak = Math.max(this.peak, this.running)
    this.onStart()
    return new Promise(resolve => {
      response.once('close', () => {
        this.running--
        resolve()
      })
    })
  }

  private echo (request: IncomingMessage, url: URL, body: Buffer): Buffer {
    if (body.length > 0) return body
    return Buffer.from(JSON.stringify({ worker: this.worker, method: request.method, path: url.pathname + url.search }))
  }

  private async send (response: ServerResponse, knobs: EchoKnobs, body: Buffer): Promise<void> {
    response.writeHead(knobs.status, { 'content-length': body.length, 'rattanstep-worker': this.worker })
    if (knobs.cut !== null) {
      response.write(body.subarray(0, knobs.cut), () => { response.destroy() })
      return
    }
    for (let from = 0; from < body.length; from += CHUNK_BYTES) {
      if (response.write(body.subarray(from, from + CHUNK_BYTES))) continue
      await drained(response)
      if (response.destroyed) return
    }
    response.end()
  }
}

async function drained (response: ServerResponse): Promise<void> {
  await new Promise<void>(resolve => {
    const done = (): void => {
      response.off('drain', done)
      response.off('close', done)
      resolve()
    }
    response.on('drain', done)
    response.on('close', done)
  })
}
