import type { Incarnation } from '@rattanstep/core'
import type { Facts } from '../../types/Facts.js'
import { sameMembers } from '../../utils/quorum.js'
import { chooseVoters } from './chooseVoters.js'
import type { Draft } from './Draft.js'
import { eligibleHolders } from './ResourceCounts.js'

/**
 * Moves the exchange of voters on by one step: names the next voters beside the current ones, or drops the
 * current ones once every holder has said that it counts by the next, or drops a set that is lost for good.
 *
 * @param draft - the assignment to change
 * @param facts - what this node knows
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
  draft.nextVoters = wanted
  draft.changes.push(`named next voters: ${wanted.join(' ')}`)
}

/**
 * @param draft - the assignment to change
 * @param facts - what this node knows
 * @returns the voters that there should be, sorted
 */
export function wantedVoters (draft: Draft, facts: Facts): Incarnation[] {
  const eligible = draft.holders.filter(holder => !holder.draining && !facts.leaving.has(holder.incarnation))
  const usable = new Set(eligibleHolders(draft.holders, facts))
  if (!facts.lost.voters) return chooseVoters(eligible, draft.voters, usable)
  return chooseVoters(eligible.filter(holder => usable.has(holder.incarnation)), [], usable)
}

/** A row without voters could never be left again, so that none is written. */
function resetVoters (draft: Draft, facts: Facts): void {
  const wanted = wantedVoters(draft, facts)
  if (wanted.length === 0) return
  draft.voters = wanted
  draft.nextVoters = null
  draft.changes.push(`named voters afresh: ${wanted.join(' ')}`)
}

function finishExchange (draft: Draft, next: Incarnation[], facts: Facts): void {
  const { lost } = facts
  if (lost.voters && lost.nextVoters) {
    resetVoters(draft, facts)
    return
  }
  if (lost.nextVoters) {
    draft.nextVoters = null
    draft.changes.push('dropped the next voters, who are lost')
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
