import type { Finding, SourceLocation } from '@rattanstep/core'

/** The text of a file of rules, settings or a job, together with the findings reported for it. */
export class Source {
  readonly findings: Finding[] = []
  private readonly lineStarts: number[] = [0]
  private readonly reportedKeys = new Set<string>()

  /**
   * @param text - contents of the file
   * @param file - file name that findings give
   */
  constructor (readonly text: string, readonly file: string) {
    for (let at = text.indexOf('\n'); at !== -1; at = text.indexOf('\n', at + 1)) this.lineStarts.push(at + 1)
  }

  /**
   * @param offset - position in the text, from 0
   * @returns file, line and column of the position; lines and columns count from 1
   */
  locate (offset: number): SourceLocation {
    const line = this.lineOf(offset)
    return { file: this.file, line, column: offset - this.lineStarts[line - 1]! + 1 }
  }

  /**
   * @param offset - position in the text, from 0
   * @returns the line of the position, counted from 1
   */
  lineOf (offset: number): number {
    let low = 0
    let high = this.lineStarts.length - 1
    while (low < high) {
      const middle = (low + high + 1) >> 1
      if (this.lineStarts[middle]! <= offset) low = middle
      else high = middle - 1
    }
    return low + 1
  }

  /**
   * Adds a finding, unless one with the same code was already reported at the same offset.
   *
   * @param code - stable identifier of the kind of finding
   * @param offset - position in the text, from 0
   * @param message - what was given, what is expected and what to do
   */
  report (code: string, offset: number, message: string): void {
    const key = `${code} ${offset}`
    if (this.reportedKeys.has(key)) return
    this.reportedKeys.add(key)
    this.findings.push({ code, place: this.locate(Math.min(offset, this.text.length)), message })
  }

  /**
   * Reads the comment that follows a value on the same line.
   *
   * @param offset - offset at which the value ends
   * @returns the comment without `#`, or an empty string if there is none
   */
  commentAfter (offset: number): string {
    const end = this.text.indexOf('\n', offset)
    const rest = this.text.slice(offset, end === -1 ? this.text.length : end).trim()
    return rest.startsWith('#') ? rest.replace(/^#+/, '').trim() : ''
  }

  /** @returns the findings, sorted by line and column */
  sortedFindings (): Finding[] {
    return [...this.findings].sort((a, b) => a.place.line - b.place.line || a.place.column - b.place.column)
  }
}
