import type { IncomingMessage } from 'node:http'
import { Transform } from 'node:stream'
import type { Readable, TransformCallback } from 'node:stream'
import { Err, Ok } from '@rattanstep/core'
import type { Clock, Result, Timer } from '@rattanstep/core'

/**
 * A caller's body on its way to an endpoint, bounded in size and in idle time.
 */

/** Why a body could not be taken. */
export type BodyFault = 'too-large' | 'too-slow' | 'broken'

/** Passes bytes on and fails past a size or after an idle time. */
class Meter extends Transform {
  fault: BodyFault | null = null
  private size = 0
  private timer: Timer | null = null

  constructor (private readonly limits: BodyLimits) {
    super()
    this.arm()
  }

  override _transform (chunk: Buffer, _encoding: string, callback: TransformCallback): void {
    this.size += chunk.length
    if (this.size > this.limits.size) {
      this.fail('too-large')
      callback()
      return
    }
    this.arm()
    callback(null, chunk)
  }

  override _flush (callback: TransformCallback): void {
    this.timer?.cancel()
    callback()
  }

  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    this.timer?.cancel()
    callback(error)
  }

  fail (fault: BodyFault): void {
    this.fault ??= fault
    this.destroy(new Error(`body ${fault}`))
  }

  private arm (): void {
    this.timer?.cancel()
    this.timer = this.limits.clock.schedule(this.limits.idleTimeout, () => {
      // Nothing can arrive while the endpoint does not read.
      if (this.writableNeedDrain || this.readableLength > 0) this.arm()
      else this.fail('too-slow')
    })
  }
}

/** What bounds a body. */
export interface BodyLimits {
  clock: Clock
  /** Most bytes. */
  size: number
  /** Milliseconds without a byte after which the body is given up. */
  idleTimeout: number
  /** Bodies of a declared size up to this many bytes are read before the request is sent. */
  buffer: number
}

/** The body of one request. */
export class RequestBody {
  /** Declared size in bytes, or `null` for a chunked body. */
  readonly declared: number | null
  private buffered: Buffer | null = null
  private meter: Meter | null = null

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
    return this.isReplayable || this.meter === null || !(this.meter.destroyed || this.meter.readableDidRead)
  }

  /** Why the body broke off, once it did. */
  get fault (): BodyFault | null {
    return this.meter?.fault ?? null
  }

  /** Bytes that were read ahead, or `null`. */
  get bytes (): Buffer | null {
    return this.buffered
  }

  /** @returns nothing, or why a body of the declared size is not taken */
  check (): Result<void, BodyFault> {
    return this.declared !== null && this.declared > this.limits.size ? Err('too-large') : Ok(undefined)
  }

  /**
   * Reads a small body whole, so that a slow caller holds no room and the request can be repeated.
   *
   * @returns nothing, or why the body could not be taken
   */
  async prepare (): Promise<Result<void, BodyFault>> {
    if (this.isEmpty || this.declared === null || this.declared > this.limits.buffer) return Ok(undefined)
    const chunks: Buffer[] = []
    const meter = this.pipe()
    try {
      for await (const chunk of meter) chunks.push(chunk as Buffer)
    } catch {
      return Err(meter.fault ?? 'broken')
    }
    this.buffered = Buffer.concat(chunks)
    return Ok(undefined)
  }

  /** @returns what to send; a stream can be taken once only */
  open (): Buffer | Readable | null {
    if (this.isEmpty) return null
    return this.buffered ?? this.meter ?? this.pipe()
  }

  /** Reads the rest and drops it, so that the caller can read its answer. */
  drop (): void {
    this.meter?.destroy()
    this.message.unpipe()
    this.message.resume()
  }

  private pipe (): Meter {
    const meter = new Meter(this.limits)
    this.meter = meter
    meter.on('error', () => {})
    this.message.once('error', () => { meter.fail('broken') })
    this.message.once('close', () => {
      if (!this.message.complete) meter.fail('broken')
    })
    this.message.pipe(meter)
    return meter
  }
}

function declaredSize (message: IncomingMessage): number | null {
  if (message.headers['transfer-encoding'] !== undefined) return null
  const length = message.headers['content-length']
  return length === undefined ? 0 : Number(length)
}
