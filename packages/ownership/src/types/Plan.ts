import type { Assignment } from '@rattanstep/core'

/** A change of the assignment and why it is made. */
export interface Plan {
  next: Assignment
  /** One line for each change. */
  changes: string[]
}
