import type { Finding } from '@rattanstep/core'

/**
 * Responses and errors of a node's control interface.
 */

/** Why a request to a node failed. */
export type ControlFault =
  | 'unreachable'   // there is no connection, or a read failed; nothing was changed
  | 'unknown'       // the connection broke or the node does not know the outcome; the command may have taken effect
  | 'secret'        // the secret is wrong
  | 'conflict'      // another operator applied rules first, or the name is already in use
  | 'findings'      // the rules or the job have findings
  | 'not-found'     // the named object does not exist
  | 'unavailable'   // the node cannot carry out the request at the moment
  | 'unexpected'    // any other response

/** Describes a request that a node refused or that failed. */
export interface ControlError {
  fault: ControlFault
  /** What happened and what to do. */
  message: string
  /** Findings in the rules or the job that was sent; empty for other failures. */
  findings: Finding[]
  /** Version that is in force after a conflict; 0 if the node did not report one. */
  version: number
}

/** The rules of a node as text. */
export interface RulesText {
  /** Version number of the rules. */
  version: number
  text: string
}
