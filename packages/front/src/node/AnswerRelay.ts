import type { Clock, StoredAnswer, Timer } from '@rattanstep/core'
import type { AnswerHead, AnswerSink, HeaderList } from '../types/run.js'
import type { Reply } from './Reply.js'

/** Largest body of an answer that is stored for repeats, in bytes. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024

/** Options of `AnswerRelay`. */
export interface AnswerRelayOptions {
  reply: Reply
  clock: Clock
  /** Milliseconds for which the caller may leave sent bytes unread. */
  idleTimeout: number
  /** Whether to keep the answer for repeats of the request. */
  storeAnswer: boolean
  onSending: () => void
  onHead: () => void
  /** Called when the caller has not read what was sent within the idle time. */
  onSlow: () => void
}

/** Forwards one answer to its caller, no faster than the caller reads it. */
export class AnswerRelay implements AnswerSink {
  private answerHead: AnswerHead | null = null
  private resume: () => void = () => {}
  private chunks: Buffer[] = []
  private size = 0
  private isComplete = false
  private slowTimer: Timer | null = null

  constructor (private readonly options: AnswerRelayOptions) {}

  sending (): void {
    this.options.onSending()
  }

  head (head: AnswerHead, resume: () => void): void {
    this.options.reply.sendHead(head)
    this.options.onHead()
    this.answerHead = head
    this.resume = resume
  }

  data (chunk: Buffer): boolean {
    this.collect(chunk)
    if (this.options.reply.sendChunk(chunk)) return true
    // With pipelined requests an answer may wait for an earlier one on the same connection; its caller is not slow then.
    if (this.options.reply.isHeadOfLine) this.slowTimer = this.options.clock.schedule(this.options.idleTimeout, this.options.onSlow)
    this.options.reply.onDrain(() => {
      this.slowTimer?.cancel()
      this.resume()
    })
    return false
  }

  end (trailers: HeaderList): void {
    this.isComplete = true
    this.options.reply.finish(trailers)
  }

  /** @returns the answer when it is complete and small enough to be stored, otherwise `null` */
  storedAnswer (): StoredAnswer | null {
    if (!this.isComplete || this.answerHead === null || this.size > MAX_STORED_ANSWER_BYTES) return null
    const { status, headers } = this.answerHead
    return { status, headers, body: Buffer.concat(this.chunks).toString('base64') }
  }

  private collect (chunk: Buffer): void {
    if (!this.options.storeAnswer) return
    this.size += chunk.length
    if (this.size <= MAX_STORED_ANSWER_BYTES) this.chunks.push(chunk)
    else this.chunks = []
  }
}
