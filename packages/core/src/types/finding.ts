/**
 * Location of a finding in the operators' text. Lines and columns start at 1.
 */
export interface SourceLocation {
  file: string
  line: number
  column: number
}

/**
 * An error found in user input. Findings are collected and reported together.
 */
export interface Finding {
  /** Stable identifier, such as `unknown-key`. */
  code: string
  place: SourceLocation
  /** Describes what was given, what is expected, and how to correct it. */
  message: string
}

/**
 * Formats a finding as `FILE:LINE:COLUMN: CODE message`.
 *
 * @param finding - the finding
 * @returns one line of text without a line break
 */
export function formatFinding (finding: Finding): string {
  const { file, line, column } = finding.place
  return `${file}:${line}:${column}: ${finding.code} ${finding.message}`
}
