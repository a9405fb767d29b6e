import type { Assignment } from '@rattanstep/core'
import type { Facts } from '../types/Facts.js'
import type { Plan } from '../types/Plan.js'
import { allVoters } from '../utils/quorum.js'
import { claimUnowned, handOverReleased } from './plan/assignResources.js'
import { Draft } from './plan/Draft.js'
import { exchangeVoters } from './plan/exchangeVoters.js'
import { removeHolders } from './plan/removeHolders.js'
import { updateOwnMembership } from './plan/updateOwnMembership.js'

/**
 * Plans the next assignment from the current one and the facts that a node knows. A plan made from facts of one
 * version stays valid for a compare-and-set on that version, however late the write takes effect.
 */
export class Planner {
  /**
   * @param current - newest known assignment
   * @param facts - the facts known at this version
   * @returns the next assignment and its changes, or null when there is nothing to change
   */
  plan (current: Assignment, facts: Facts): Plan | null {
    const draft = new Draft(current)
    updateOwnMembership(draft, facts)
    handOverReleased(draft, facts)
    if (this.isCoordinator(current, facts)) this.coordinate(draft, facts)
    if (draft.changes.length === 0 && facts.shouldVoidVotes) draft.changes.push('voided votes')
    if (draft.changes.length === 0) return null
    return { next: draft.finish(), changes: draft.changes }
  }

  /** Voters coordinate changes for the whole cell; once a voter set is lost, every node does. */
  protected isCoordinator (current: Assignment, facts: Facts): boolean {
    if (facts.lost.voters || facts.lost.nextVoters) return true
    return allVoters(current).includes(facts.self.incarnation)
  }

  protected coordinate (draft: Draft, facts: Facts): void {
    this.removeHolders(draft, facts)
    claimUnowned(draft, facts)
    this.exchangeVoters(draft, facts)
  }

  protected removeHolders (draft: Draft, facts: Facts): void {
    removeHolders(draft, facts)
  }

  protected exchangeVoters (draft: Draft, facts: Facts): void {
    exchangeVoters(draft, facts)
  }
}
