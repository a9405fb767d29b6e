const INITIAL_BYTES = 1024

/** Joins the pieces of a body as they arrive, in one buffer that grows up to a limit. */
export class BodyBuffer {
  private bytes: Buffer | undefined
  private used = 0

  /** @param options - `limit`: largest body in bytes; `expected`: bytes that the sender announced; `reserve`: asked before the buffer grows to a size */
  constructor (private readonly options: { limit: number, expected: number | undefined, reserve: (bytes: number) => boolean }) {}

  get length (): number {
    return this.used
  }

  /** @returns whether the piece was added; `too-large`: the body is longer than the limit; `refused`: the buffer may not grow */
  append (piece: Buffer): 'added' | 'too-large' | 'refused' {
    const needed = this.used + piece.length
    if (needed > this.options.limit) return 'too-large'
    if (this.bytes === undefined || needed > this.bytes.length) {
      const { limit, expected } = this.options
      const size = Math.min(limit, expected ?? limit, Math.max(INITIAL_BYTES, needed, 2 * (this.bytes?.length ?? 0)))
      const capacity = Math.max(size, needed)
      if (!this.options.reserve(capacity)) return 'refused'
      const grown = Buffer.allocUnsafeSlow(capacity)
      this.bytes?.copy(grown, 0, 0, this.used)
      this.bytes = grown
    }
    piece.copy(this.bytes, this.used)
    this.used = needed
    return 'added'
  }

  /** @returns the body as text; the buffer is empty afterwards */
  take (): string {
    const text = this.bytes?.toString('utf8', 0, this.used) ?? ''
    this.bytes = undefined
    this.used = 0
    return text
  }
}
