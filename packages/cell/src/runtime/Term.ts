/** Who decides, as on record. */
export interface Term {
  /** Fencing token: grows by one with each claim. */
  fence: number
  node: string
  /** Tells starts of the same node apart. */
  start: string
  /** `HOST:PORT` for links. */
  address: string
  /** Number of the decider's last transaction. */
  serial: number
}

/** Where the term stands. It shares its part with the records of tasks. */
export const TERM_ROW = { table: 'term', part: 'd', key: 'term' } as const

/** @returns the row's value */
export function encodeTerm (term: Term): string {
  return JSON.stringify(term)
}

/** @returns the term, or `undefined` when the value is not one */
export function decodeTerm (value: string): Term | undefined {
  try {
    const term = JSON.parse(value) as Partial<Term> | null
    if (term === null || typeof term.fence !== 'number' || typeof term.node !== 'string' || typeof term.address !== 'string') return undefined
    return { fence: term.fence, node: term.node, start: String(term.start), address: term.address, serial: Number(term.serial) }
  } catch {
    // A row that is no JSON is no term; the caller claims with the next token.
    return undefined
  }
}
