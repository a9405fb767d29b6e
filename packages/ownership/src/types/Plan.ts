import type { Assignment } from '@rattanstep/core'

/** A planned change of the assignment. */
export interface Plan {
  next: Assignment
  /** One line of text for each change. */
  changes: string[]
}
