import type { Incarnation } from '@rattanstep/core'
import type { Facts } from '../../types/Facts.js'
import { isMajority, sameMembers } from '../../utils/quorum.js'
import { chooseVoters } from './chooseVoters.js'
import type { Draft } from './Draft.js'
import { eligibleHolders } from './ResourceCounts.js'

/**
 * Takes one step in the exchange of voters: names the next voters beside the current ones, or drops the current
 * ones once every holder has reported that it switched to the next ones, or drops a voter set that is lost for good.
 *
 * @param draft - the assignment to change
 * @param facts - the facts that this node knows
 */
export function exchangeVoters (draft: Draft, facts: Facts): void {
  if (draft.current.nextVoters !== null) {
    finishExchange(draft, draft.current.nextVoters, facts)
    return
  }
  if (facts.lost.voters) {
    resetVoters(draft, facts)
    return
  }
  const wanted = wantedVoters(draft, facts)
  if (wanted.length === 0 || sameMembers(wanted, draft.voters)) return
  if (wanted.length < draft.voters.length && mayReturn(draft, facts)) return
  draft.nextVoters = wanted
  draft.changes.push(`named next voters: ${wanted.join(' ')}`)
}

/**
 * @param draft - the assignment to change
 * @param facts - the facts that this node knows
 * @returns the voters that the cell should have, sorted
 */
export function wantedVoters (draft: Draft, facts: Facts): Incarnation[] {
  const eligible = draft.holders.filter(holder => !holder.draining && !facts.leaving.has(holder.incarnation))
  const usable = new Set(eligibleHolders(draft.holders, facts))
  if (!facts.lost.voters) return chooseVoters(eligible, draft.voters, usable)
  return chooseVoters(eligible.filter(holder => usable.has(holder.incarnation)), [], usable)
}

/**
 * Whether fewer voters should wait: a voter that was removed as a holder but is still listed may only be paused. As long as the others are a
 * majority, keeping it costs nothing, and its return makes up for the next loss. A smaller set could not bear the loss of its only member.
 * A planned stop doesn't wait.
 */
function mayReturn (draft: Draft, { listed, heard, leaving }: Facts): boolean {
  const isStopping = draft.holders.some(({ incarnation, draining }) => draft.voters.includes(incarnation) && (draining || leaving.has(incarnation)))
  return !isStopping && isMajority(draft.voters, heard) && draft.voters.some(voter => !draft.hasHolder(voter) && listed.has(voter))
}

/** Replaces the voters. An empty set is never written, since the cell could not recover from a row without voters. */
function resetVoters (draft: Draft, facts: Facts): void {
  const wanted = wantedVoters(draft, facts)
  if (wanted.length === 0) return
  draft.voters = wanted
  draft.nextVoters = null
  draft.changes.push(`reset voters: ${wanted.join(' ')}`)
}

function finishExchange (draft: Draft, next: Incarnation[], facts: Facts): void {
  const { lost } = facts
  if (lost.voters && lost.nextVoters) {
    resetVoters(draft, facts)
    return
  }
  if (lost.nextVoters) {
    draft.nextVoters = null
    draft.changes.push('dropped the next voters, which are lost')
    return
  }
  const allSwitched = draft.holders.every(holder => hasSwitchedTo(holder.incarnation, next, facts))
  if (!lost.voters && !allSwitched) return
  draft.voters = next
  draft.nextVoters = null
  draft.changes.push(`dropped the old voters for ${next.join(' ')}`)
}

function hasSwitchedTo (holder: Incarnation, voters: readonly Incarnation[], facts: Facts): boolean {
  const activeVoters = facts.activeVoters.get(holder)
  return activeVoters !== undefined && sameMembers(activeVoters, voters)
}
