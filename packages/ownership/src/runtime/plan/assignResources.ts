import type { Facts } from '../../types/Facts.js'
import type { Draft } from './Draft.js'
import { eligibleHolders, ResourceCounts } from './ResourceCounts.js'

/**
 * Hands over the resources that this node has released: each to the eligible holder that owns the fewest. A resource
 * that is no longer listed, or for which no other holder is eligible, is left without an owner.
 *
 * @param draft - the assignment to change
 * @param facts - the facts that this node knows
 */
export function handOverReleased (draft: Draft, facts: Facts): void {
  if (facts.released.length === 0) return
  const self = facts.self.incarnation
  const others = eligibleHolders(draft.holders, facts).filter(holder => holder !== self)
  const counts = new ResourceCounts(draft, others)
  for (const resource of facts.released) {
    delete draft.owners[resource]
    if (facts.resources?.includes(resource) === false) continue
    const owner = counts.leastLoaded(resource)
    if (owner === null) continue
    draft.owners[resource] = owner
    counts.add(resource, owner)
  }
  draft.changes.push(`handed over ${facts.released.length} resources of ${self}`)
}

/**
 * Assigns resources without an owner to the eligible holders that own the fewest. This happens at once when the
 * draft removes a holder, and otherwise only when `canClaim` is set.
 *
 * @param draft - the assignment to change
 * @param facts - the facts that this node knows
 */
export function claimUnowned (draft: Draft, facts: Facts): void {
  if (facts.resources === null) return
  const removed = draft.current.holders.some(holder => !draft.hasHolder(holder.incarnation))
  if (!facts.canClaim && !removed) return
  const unowned = facts.resources.filter(resource => draft.owners[resource] === undefined)
  const counts = new ResourceCounts(draft, eligibleHolders(draft.holders, facts))
  let claimed = 0
  for (const resource of unowned) {
    const owner = counts.leastLoaded(resource)
    if (owner === null) return
    draft.owners[resource] = owner
    counts.add(resource, owner)
    claimed++
  }
  if (claimed > 0) draft.changes.push(`claimed ${claimed} resources`)
}
