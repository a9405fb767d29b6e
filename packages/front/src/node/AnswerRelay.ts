import type { Clock, StoredAnswer, Timer } from '@rattanstep/core'
import type { AnswerHead, AnswerSink, HeaderList } from '../types/run.js'
import type { Reply } from './Reply.js'

/** Largest answer that is remembered for repeats, in bytes. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024

/** What passes an answer on. */
export interface AnswerRelayOptions {
  reply: Reply
  clock: Clock
  /** Milliseconds that the caller may leave bytes untaken. */
  idleTimeout: number
  /** Whether the answer may be asked for again. */
  storeAnswer: boolean
  onSending: () => void
  onHead: () => void
  /** The caller has taken no byte for the idle time. */
  onSlow: () => void
}

/** Passes one answer on to one caller, at the caller's pace. */
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
    // An answer that waits behind another one on the same connection is not slow.
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

  /** @returns the whole answer when it is small enough to be remembered, else `null` */
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
