import type { Assignment, Incarnation } from '@rattanstep/core'

/**
 * @param size - number of members
 * @returns the smallest number that is a majority
 */
export function majoritySize (size: number): number {
  return Math.floor(size / 2) + 1
}

/**
 * @param members - a set of voters
 * @param agreeing - nodes that agreed; others than members do not count
 * @returns whether a majority of the members agreed; false for an empty set
 */
export function isMajority (members: readonly Incarnation[], agreeing: ReadonlySet<Incarnation>): boolean {
  const agreed = members.filter(member => agreeing.has(member)).length
  return members.length > 0 && agreed >= majoritySize(members.length)
}

/**
 * @param a - incarnations in any order
 * @param b - incarnations in any order
 * @returns whether both contain the same incarnations
 */
export function sameMembers (a: readonly Incarnation[], b: readonly Incarnation[]): boolean {
  return a.length === b.length && a.every(member => b.includes(member))
}

/**
 * @param assignment - an assignment
 * @returns the current and the next voters, without duplicates
 */
export function allVoters (assignment: Assignment): Incarnation[] {
  return [...new Set([...assignment.voters, ...assignment.nextVoters ?? []])]
}
