import type { Finding, SourceLocation } from '@rattanstep/core'

/** A text with the findings made about it. */
export class Source {
  readonly findings: Finding[] = []
  private readonly lineStarts: number[] = [0]
  private readonly reportedKeys = new Set<string>()

  /**
   * @param text - the operators' text
   * @param file - name of the text in findings
   */
  constructor (readonly text: string, readonly file: string) {
    for (let at = text.indexOf('\n'); at !== -1; at = text.indexOf('\n', at + 1)) this.lineStarts.push(at + 1)
  }

  /**
   * @param offset - position in the text, from 0
   * @returns its line and column, from 1
   */
  locate (offset: number): SourceLocation {
    const line = this.lineOf(offset)
    return { file: this.file, line, column: offset - this.lineStarts[line - 1]! + 1 }
  }

  /**
   * @param offset - position in the text, from 0
   * @returns its line, from 1
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
   * Adds a finding, once for each code and place.
   *
   * @param code - stable identifier
   * @param offset - where in the text
   * @param message - what was given, what is expected and what to do
   */
  report (code: string, offset: number, message: string): void {
    const key = `${code} ${offset}`
    if (this.reportedKeys.has(key)) return
    this.reportedKeys.add(key)
    this.findings.push({ code, place: this.locate(Math.min(offset, this.text.length)), message })
  }

  /**
   * Reads the comment that stands behind a value on its line.
   *
   * @param offset - where the value ends
   * @returns the comment without its mark, or empty when there is none
   */
  commentAfter (offset: number): string {
    const end = this.text.indexOf('\n', offset)
    const rest = this.text.slice(offset, end === -1 ? this.text.length : end).trim()
    return rest.startsWith('#') ? rest.replace(/^#+/, '').trim() : ''
  }

  /** @returns the findings in the order of the text */
  sortedFindings (): Finding[] {
    return [...this.findings].sort((a, b) => a.place.line - b.place.line || a.place.column - b.place.column)
  }
}
