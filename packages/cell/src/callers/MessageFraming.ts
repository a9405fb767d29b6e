const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** What is expected next in a message; `lost`: the chunks of a body make no sense. */
type Part = 'head' | 'length' | 'chunk-size' | 'chunk' | 'trailer' | 'lost'

/**
 * Finds the ends of HTTP messages in a stream of bytes, so that a parser can be given one message at a time. It decides nothing but where to cut: the
 * parser checks what the bytes mean.
 */
export class MessageFraming {
  private part: Part = 'head'
  /** Bytes of a body or chunk that are still to come. */
  private remaining = 0
  /** Characters of the present line so far, without a carriage return. */
  private lineLength = 0
  private chunkSize = 0
  /** Whether the digits of the size of a chunk have ended. */
  private isSizeRead = false
  private hasHeadContent = false

  /** @returns whether the next byte belongs to the head of a message */
  get isAtHead (): boolean {
    return this.part === 'head'
  }

  /** Expects a body after the head that has ended; `length`: in bytes, or `undefined` for chunks. */
  startBody (length: number | undefined): void {
    if (length === undefined) this.part = 'chunk-size'
    else if (length > 0) this.part = 'length'
    this.remaining = length ?? 0
    this.startLine()
    this.chunkSize = 0
    this.isSizeRead = false
  }

  /**
   * Consumes bytes to the end of the present head or body.
   *
   * @param data - bytes
   * @param from - index of the first byte to consume
   * @returns index after the last consumed byte, and whether the head or body ends there
   */
  advance (data: Buffer, from: number): { end: number, isComplete: boolean } {
    switch (this.part) {
      case 'head': return this.advanceHead(data, from)
      case 'length': {
        const end = Math.min(data.length, from + this.remaining)
        this.remaining -= end - from
        if (this.remaining === 0) this.reset()
        return { end, isComplete: this.remaining === 0 }
      }
      default: return this.advanceChunks(data, from)
    }
  }

  private advanceHead (data: Buffer, from: number): { end: number, isComplete: boolean } {
    let { lineLength } = this
    // A loop is faster than a search for each of the short lines of a head.
    for (let at = from; at < data.length; at++) {
      const byte = data[at]
      if (byte !== LINE_FEED) {
        if (byte !== CARRIAGE_RETURN) lineLength++
        continue
      }
      // Empty lines before a request are ignored, as the parser does.
      if (lineLength > 0) this.hasHeadContent = true
      else if (this.hasHeadContent) {
        this.reset()
        return { end: at + 1, isComplete: true }
      }
      lineLength = 0
    }
    this.lineLength = lineLength
    return { end: data.length, isComplete: false }
  }

  private advanceChunks (data: Buffer, from: number): { end: number, isComplete: boolean } {
    let at = from
    while (at < data.length) {
      if (this.part === 'chunk') {
        const taken = Math.min(this.remaining, data.length - at)
        at += taken
        this.remaining -= taken
        if (this.remaining === 0) this.part = 'chunk-size'
        continue
      }
      const byte = data[at++]!
      if (this.part === 'chunk-size') {
        if (byte === LINE_FEED) this.endSizeLine()
        else if (!this.isSizeRead) this.readSizeDigit(byte)
      } else if (this.part === 'trailer') {
        if (byte !== LINE_FEED) this.lineLength += byte === CARRIAGE_RETURN ? 0 : 1
        else if (this.lineLength > 0) this.lineLength = 0
        else {
          this.reset()
          return { end: at, isComplete: true }
        }
      } else return { end: data.length, isComplete: false }
    }
    return { end: at, isComplete: false }
  }

  private readSizeDigit (byte: number): void {
    const digit = hexDigit(byte)
    if (digit < 0) this.isSizeRead = true
    else {
      this.chunkSize = this.chunkSize * 16 + digit
      if (this.chunkSize > Number.MAX_SAFE_INTEGER / 16) this.part = 'lost'
    }
  }

  private endSizeLine (): void {
    // The line end after a chunk's data belongs to the chunk.
    this.remaining = this.chunkSize + 2
    this.part = this.chunkSize === 0 ? 'trailer' : 'chunk'
    this.chunkSize = 0
    this.isSizeRead = false
    this.startLine()
  }

  private startLine (): void {
    this.lineLength = 0
  }

  private reset (): void {
    this.part = 'head'
    this.hasHeadContent = false
    this.startLine()
  }
}

function hexDigit (byte: number): number {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30
  const lower = byte | 0x20
  return lower >= 0x61 && lower <= 0x66 ? lower - 0x57 : -1
}
