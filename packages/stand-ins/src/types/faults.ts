/** Faults that a stand-in shows. */
export interface Faults {
  /** Every call is answered `unavailable` without effect. */
  down: boolean
  /** Milliseconds before a call takes effect. */
  slow: number
  /** Writes take effect and are answered `unknown`. */
  loseAnswers: boolean
  /** Writes are answered `unknown` at once and take effect this many ms later; 0 turns it off. */
  lateWrites: number
  /** Faults of single writes, by their number from 0; they replace the other faults for that write. */
  forWrite: (write: number) => Partial<Faults> | null
}

/**
 * @returns faults that do nothing
 */
export function noFaults (): Faults {
  return { down: false, slow: 0, loseAnswers: false, lateWrites: 0, forWrite: () => null }
}
