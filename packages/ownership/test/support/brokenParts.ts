import type { Assignment, Incarnation } from '@rattanstep/core'
import { Lease } from '../../src/runtime/Lease.js'
import type { Draft } from '../../src/runtime/plan/Draft.js'
import { wantedVoters } from '../../src/runtime/plan/exchangeVoters.js'
import { Planner } from '../../src/runtime/Planner.js'
import { Voter } from '../../src/runtime/Voter.js'
import type { Facts } from '../../src/types/Facts.js'

// Variants of the protocol parts, each without one safeguard.

/** Gives promises also at a version at which it voted for the removal. */
export class VoteIgnoringVoter extends Voter {
  protected override isBlockedByVote (): boolean {
    return false
  }
}

/** Votes for a removal although its promise is in force. */
export class PromiseIgnoringVoter extends Voter {
  override isPromised (): boolean {
    return false
  }
}

/** Counts the duration of a promise from when it arrived. */
export class ReceiptTimeLease extends Lease {
  protected override promiseStart (_sentAt: number, now: number): number {
    return now
  }
}

/** Replaces the voters in one step, without a row that names both sets. */
export class SingleStepPlanner extends Planner {
  protected override exchangeVoters (draft: Draft, facts: Facts): void {
    const wanted = wantedVoters(draft, facts)
    if (wanted.join() === draft.voters.join()) return
    draft.voters = wanted
    draft.changes.push('exchanged voters in one step')
  }
}

/** Drops the old voters before the holders have reported that they switched to the next ones. */
export class UnconfirmedPlanner extends Planner {
  protected override exchangeVoters (draft: Draft, facts: Facts): void {
    const { nextVoters } = draft.current
    const countsBy = new Map(draft.holders.map(holder => [holder.incarnation, nextVoters ?? []]))
    super.exchangeVoters(draft, { ...facts, activeVoters: countsBy })
  }
}

/** Removes a holder with a single vote. */
export class SingleVotePlanner extends Planner {
  protected override removeHolders (draft: Draft, facts: Facts): void {
    const votes = new Map([...facts.votes].map(([holder]) => [holder, new Set(allVotersOf(draft.current))]))
    super.removeHolders(draft, { ...facts, votes })
  }
}

/** Removes a holder with a majority of the current voters only, while two sets are named. */
export class CurrentMajorityPlanner extends Planner {
  protected override removeHolders (draft: Draft, facts: Facts): void {
    const next = draft.current.nextVoters ?? []
    const votes = new Map([...facts.votes].map(([holder, voters]) => [holder, new Set([...voters, ...next.filter(voter => !draft.current.voters.includes(voter))])]))
    super.removeHolders(draft, { ...facts, votes })
  }
}

function allVotersOf (assignment: Assignment): string[] {
  return [...assignment.voters, ...assignment.nextVoters ?? []]
}

/** Switches back to the old voters after it reported that it switched to the next ones. */
export class RevertingLease extends Lease {
  override addPromise (voter: Incarnation, sentAt: number, now: number): void {
    super.addPromise(voter, sentAt, now)
    if (this.state.nextVoters?.includes(voter) === false) this.state.usesNextVoters = false
  }
}

/** Drops every resource as missing from the list, although other nodes own them. */
export class DroppingPlanner extends Planner {
  protected override coordinate (draft: Draft, facts: Facts): void {
    super.coordinate(draft, facts)
    draft.owners = {}
    draft.changes.push('dropped missing resources')
  }
}
