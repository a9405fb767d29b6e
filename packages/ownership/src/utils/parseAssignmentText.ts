import { Err } from '@rattanstep/core'
import type { Assignment, Result } from '@rattanstep/core'
import { parseAssignment } from './parseAssignment.js'

/**
 * @param text - value of the assignment row
 * @returns the assignment, or the findings, one a line, each with its place
 */
export function parseAssignmentText (text: string): Result<Assignment, string> {
  try {
    return parseAssignment(JSON.parse(text))
  } catch (error) {
    return Err(`not JSON: ${String(error)}`)
  }
}
