import { Err, Ok } from '@rattanstep/core'
import type { Assignment, Result } from '@rattanstep/core'
import { z } from 'zod'

const addressSchema = z.object({ host: z.string(), port: z.number().int() })

const assignmentSchema = z.object({
  version: z.number().int().nonnegative(),
  holders: z.array(z.object({
    incarnation: z.string().min(1),
    dataCentre: z.string(),
    peer: addressSchema,
    draining: z.boolean()
  })),
  owners: z.record(z.string(), z.string()),
  voters: z.array(z.string()).min(1),
  nextVoters: z.array(z.string()).min(1).nullable()
})

/**
 * Validates an assignment that came from outside the process.
 *
 * @param value - parsed JSON
 * @returns the assignment, or the findings, one a line, each with its place
 */
export function parseAssignment (value: unknown): Result<Assignment, string> {
  const parsed = assignmentSchema.safeParse(value)
  if (!parsed.success) {
    const findings = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`)
    return Err(findings.join('\n'))
  }
  const holders = new Set(parsed.data.holders.map(holder => holder.incarnation))
  const unknownOwners = Object.entries(parsed.data.owners).filter(([, owner]) => !holders.has(owner))
  if (unknownOwners.length === 0) return Ok(parsed.data)
  return Err(unknownOwners.map(([resource, owner]) => `owners.${resource}: ${owner} is not a holder`).join('\n'))
}
