/** Term of a decider, as recorded in the store. */
export interface Term {
  /** Fencing token, which increases by one with each claim. */
  fence: number
  node: string
  /** Distinguishes the processes that were started under the same node name. */
  start: string
  /** `HOST:PORT` for links. */
  address: string
  /** Sequence number of the decider's last transaction. */
  serial: number
  /** Whether the former decider was only silent when the term was claimed, so that it may have been alive. */
  isSuspicion: boolean
}

/** Name of the term row. It is in the same part as the job records, so that one transaction can cover both. */
export const TERM_ROW = { table: 'term', part: 'd', key: 'term' } as const

/** @returns the value of the term row */
export function encodeTerm (term: Term): string {
  return JSON.stringify(term)
}

/** @returns the term, or `undefined` if the value can't be decoded */
export function decodeTerm (value: string): Term | undefined {
  try {
    const term = JSON.parse(value) as Partial<Term> | null
    if (term === null || typeof term.fence !== 'number' || typeof term.node !== 'string' || typeof term.address !== 'string') return undefined
    return { fence: term.fence, node: term.node, start: String(term.start), address: term.address, serial: Number(term.serial), isSuspicion: term.isSuspicion === true }
  } catch {
    // A row that is not JSON counts as no term; the caller can claim a new one.
    return undefined
  }
}
