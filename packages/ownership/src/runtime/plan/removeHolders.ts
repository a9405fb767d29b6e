import type { Assignment, Incarnation } from '@rattanstep/core'
import type { Facts } from '../../types/Facts.js'
import { isMajority } from '../../utils/quorum.js'
import type { Draft } from './Draft.js'

const NO_VOTES: ReadonlySet<Incarnation> = new Set()

/**
 * Removes holders that can no longer admit at the current version, and leaves their resources without an owner.
 *
 * @param draft - the assignment to change
 * @param facts - the facts that this node knows
 */
export function removeHolders (draft: Draft, facts: Facts): void {
  for (const { incarnation } of draft.current.holders) {
    if (incarnation === facts.self.incarnation) continue
    if (!isRemovable(draft.current, incarnation, facts)) continue
    const owned = draft.ownedBy(incarnation)
    for (const resource of owned) delete draft.owners[resource]
    draft.holders = draft.holders.filter(holder => holder.incarnation !== incarnation)
    draft.changes.push(`removed ${incarnation} with ${owned.length} resources`)
  }
}

/**
 * A holder may be removed when each voter set either votes for it by a majority or has lost its majority for
 * good, in which case no holder has a lease from that set. A holder whose heartbeats arrive is not removed without
 * votes.
 *
 * @param current - the assignment that names the voters
 * @param holder - the holder
 * @param facts - the facts that this node knows
 * @returns whether the holder can no longer admit at the current version
 */
export function isRemovable (current: Assignment, holder: Incarnation, facts: Facts): boolean {
  const votes = facts.votes.get(holder) ?? NO_VOTES
  const agrees = (members: readonly Incarnation[], lost: boolean): boolean => {
    if (lost) return !facts.heard.has(holder)
    return isMajority(members, votes)
  }
  if (!agrees(current.voters, facts.lost.voters)) return false
  return current.nextVoters === null || agrees(current.nextVoters, facts.lost.nextVoters)
}
