import type { IncomingMessage } from 'node:http'
import { Transform } from 'node:stream'
import type { Readable, TransformCallback } from 'node:stream'
import { Err, Ok } from '@rattanstep/core'
import type { Clock, Result, Timer } from '@rattanstep/core'

/** Why a body could not be read. */
export type BodyFault = 'too-large' | 'too-slow' | 'broken'

/** Forwards a body, and fails when it exceeds its maximum size or when no byte arrives for the idle time. */
class BodyLimiter extends Transform {
  fault: BodyFault | null = null
  private size = 0
  private idleTimer: Timer | null = null

  constructor (private readonly limits: BodyLimits) {
    super()
    this.restartIdleTimer()
  }

  override _transform (chunk: Buffer, _encoding: string, callback: TransformCallback): void {
    this.size += chunk.length
    if (this.size > this.limits.maxBytes) {
      this.fail('too-large')
      callback()
      return
    }
    this.restartIdleTimer()
    callback(null, chunk)
  }

  override _flush (callback: TransformCallback): void {
    this.idleTimer?.cancel()
    callback()
  }

  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    this.idleTimer?.cancel()
    callback(error)
  }

  fail (fault: BodyFault): void {
    this.fault ??= fault
    this.destroy(new Error(`request body failed: ${fault}`))
  }

  private restartIdleTimer (): void {
    this.idleTimer?.cancel()
    this.idleTimer = this.limits.clock.schedule(this.limits.idleTimeout, () => {
      // The caller is not slow while the endpoint does not read: back-pressure keeps further bytes from arriving.
      if (this.writableNeedDrain || this.readableLength > 0) this.restartIdleTimer()
      else this.fail('too-slow')
    })
  }
}

/** Limits of a body. */
export interface BodyLimits {
  clock: Clock
  /** Maximum size in bytes. */
  maxBytes: number
  /** Milliseconds without a byte after which the body fails. */
  idleTimeout: number
  /** Bodies of a declared size up to this many bytes are read completely before the request is sent. */
  maxBufferedBytes: number
}

/** The body of one request, limited in size and idle time. */
export class RequestBody {
  /** Declared size in bytes, or `null` for a chunked body. */
  readonly declared: number | null
  private buffered: Buffer | null = null
  private limiter: BodyLimiter | null = null

  constructor (private readonly message: IncomingMessage, private readonly limits: BodyLimits) {
    this.declared = declaredSize(message)
  }

  /** Whether there is no body. */
  get isEmpty (): boolean {
    return this.declared === 0
  }

  /** Whether the body can be sent again. */
  get isReplayable (): boolean {
    return this.isEmpty || this.buffered !== null
  }

  /** Whether an attempt can still send the body from its first byte. */
  get isUnread (): boolean {
    return this.isReplayable || this.limiter === null || !(this.limiter.destroyed || this.limiter.readableDidRead)
  }

  /** Why the body failed; `null` if it has not. */
  get fault (): BodyFault | null {
    return this.limiter?.fault ?? null
  }

  /** The complete body when it was read ahead, otherwise `null`. */
  get bytes (): Buffer | null {
    return this.buffered
  }

  /** @returns nothing, or `too-large` when the declared size exceeds the limit */
  checkSize (): Result<void, BodyFault> {
    return this.declared !== null && this.declared > this.limits.maxBytes ? Err('too-large') : Ok(undefined)
  }

  /**
   * Reads a small body completely, so that a slow caller occupies no room on a worker and the request can be sent again.
   *
   * @returns nothing, or why the body could not be read
   */
  async readAhead (): Promise<Result<void, BodyFault>> {
    if (this.isEmpty || this.declared === null || this.declared > this.limits.maxBufferedBytes) return Ok(undefined)
    const chunks: Buffer[] = []
    const limiter = this.pipeToLimiter()
    try {
      for await (const chunk of limiter) chunks.push(chunk as Buffer)
    } catch {
      return Err(limiter.fault ?? 'broken')
    }
    this.buffered = Buffer.concat(chunks)
    return Ok(undefined)
  }

  /** @returns the body to send, or `null` when it is empty; a stream can be read only once */
  open (): Buffer | Readable | null {
    if (this.isEmpty) return null
    return this.buffered ?? this.limiter ?? this.pipeToLimiter()
  }

  /** Reads and discards the rest of the body, so that the caller gets to read its answer. */
  discard (): void {
    this.limiter?.destroy()
    this.message.unpipe()
    this.message.resume()
  }

  private pipeToLimiter (): BodyLimiter {
    const limiter = new BodyLimiter(this.limits)
    this.limiter = limiter
    limiter.on('error', () => {})
    this.message.once('error', () => { limiter.fail('broken') })
    this.message.once('close', () => {
      if (!this.message.complete) limiter.fail('broken')
    })
    this.message.pipe(limiter)
    return limiter
  }
}

function declaredSize (message: IncomingMessage): number | null {
  if (message.headers['transfer-encoding'] !== undefined) return null
  const length = message.headers['content-length']
  return length === undefined ? 0 : Number(length)
}
