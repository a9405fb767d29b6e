/** What a file may hold. */
export type TextKind = 'rules' | 'settings' | 'job'

/** Keys at the start of a line that only one kind of file has. */
const KIND_PATTERNS: Array<[TextKind, RegExp]> = [
  ['rules', /^(?:classes|routes|teams|limits)\s*:/mu],
  ['settings', /^(?:cell|dataCentre|front|peer|control|platform|seeds|drain)\s*:/mu],
  ['job', /^(?:tasks|team|class)\s*:/mu]
]

/**
 * Tells what a file holds by the keys that start its lines.
 *
 * @param text - contents of the file
 * @returns its kind; rules when nothing tells
 */
export function detectTextKind (text: string): TextKind {
  return KIND_PATTERNS.find(([, pattern]) => pattern.test(text))?.[0] ?? 'rules'
}
