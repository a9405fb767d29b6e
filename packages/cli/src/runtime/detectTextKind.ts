/** Kind of a file that operators write. */
export type TextKind = 'rules' | 'settings' | 'job'

/** For each kind of file, the top-level keys that no other kind has. */
const KIND_PATTERNS: Array<[TextKind, RegExp]> = [
  ['rules', /^(?:classes|routes|teams|limits)\s*:/mu],
  ['settings', /^(?:cell|dataCentre|front|peer|control|platform|seeds|drain)\s*:/mu],
  ['job', /^(?:tasks|team|class)\s*:/mu]
]

/**
 * Detects the kind of a file by the keys at the start of its lines.
 *
 * @param text - contents of the file
 * @returns kind of the file; `rules` if no key decides it
 */
export function detectTextKind (text: string): TextKind {
  return KIND_PATTERNS.find(([, pattern]) => pattern.test(text))?.[0] ?? 'rules'
}
