/**
 * Where a finding stands in the operators' text. Lines and columns start at 1.
 */
export interface SourceLocation {
  file: string
  line: number
  column: number
}

/**
 * One fault found in user input. Findings are collected and reported together.
 */
export interface Finding {
  /** Stable identifier, such as `unknown-key`. */
  code: string
  place: SourceLocation
  /** What was given, what is expected and what to do. */
  message: string
}

/**
 * Renders a finding as `FILE:LINE:COLUMN: CODE message`.
 *
 * @param finding - the finding to render
 * @returns one line of text without a line end
 */
export function formatFinding (finding: Finding): string {
  const { file, line, column } = finding.place
  return `${file}:${line}:${column}: ${finding.code} ${finding.message}`
}
