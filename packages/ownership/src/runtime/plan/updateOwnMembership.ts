import type { Facts } from '../../types/Facts.js'
import type { Draft } from './Draft.js'

/**
 * Adds this node as a holder, or marks it as draining, or removes it once it is draining and owns nothing.
 * The first node of a cell becomes its first voter.
 *
 * @param draft - the assignment to change
 * @param facts - the facts that this node knows
 */
export function updateOwnMembership (draft: Draft, facts: Facts): void {
  const { self } = facts
  if (!draft.hasHolder(self.incarnation)) {
    if (self.draining) return
    draft.holders.push(self)
    draft.changes.push(`joined ${self.incarnation}`)
    if (draft.current.version === 0) draft.voters = [self.incarnation]
    return
  }
  if (!self.draining) return
  const known = draft.holders.find(holder => holder.incarnation === self.incarnation)
  if (known?.draining === false) markDraining(draft, facts)
  else leave(draft, facts)
}

function markDraining (draft: Draft, { self }: Facts): void {
  draft.holders = draft.holders.map(holder => holder.incarnation === self.incarnation ? self : holder)
  draft.changes.push(`draining ${self.incarnation}`)
}

/** A draining voter stays a holder until the other nodes have replaced it as a voter; they need it for that exchange. */
function leave (draft: Draft, { self }: Facts): void {
  if (draft.ownedBy(self.incarnation).length > 0) return
  if (draft.voters.includes(self.incarnation)) return
  if (draft.nextVoters?.includes(self.incarnation) === true) return
  draft.holders = draft.holders.filter(holder => holder.incarnation !== self.incarnation)
  draft.changes.push(`left ${self.incarnation}`)
}
