/** Faults that a stand-in injects. */
export interface Faults {
  /** Every call is answered `unavailable` without effect. */
  down: boolean
  /** Delay in ms before a call takes effect. */
  slow: number
  /** Writes take effect, but are answered `unknown`. */
  loseAnswers: boolean
  /** Writes are answered `unknown` at once and take effect after this delay in ms; 0 turns the fault off. */
  lateWrites: number
  /** Returns the faults of a single write, by its number from 0, which replace the other faults; `null` for none. */
  forWrite: (write: number) => Partial<Faults> | null
}

/** @returns the settings under which no fault is injected */
export function noFaults (): Faults {
  return { down: false, slow: 0, loseAnswers: false, lateWrites: 0, forWrite: () => null }
}
