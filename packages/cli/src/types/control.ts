import type { Finding } from '@rattanstep/core'

/**
 * What a node's control interface answers.
 */

/** Why a node did not do as asked. */
export type ControlFault =
  | 'unreachable'   // no connection; nothing was done
  | 'unknown'       // the connection broke; the command may have taken effect
  | 'secret'        // the secret is wrong
  | 'conflict'      // another operator was first, or the name is taken
  | 'findings'      // the text or job has findings
  | 'not-found'     // there is no such thing
  | 'unavailable'   // the node can not do it now
  | 'unexpected'    // any other answer

/** A refused or failed command. */
export interface ControlError {
  fault: ControlFault
  /** What happened and what to do. */
  message: string
  findings: Finding[]
  /** Version in force after a conflict; 0 when not told. */
  version: number
}

/** Rules as a node holds them. */
export interface RulesText {
  version: number
  text: string
}
