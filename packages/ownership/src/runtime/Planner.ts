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
 * Plans the next assignment from the current one and what a node knows. Whatever was planned from facts of
 * a version stays valid for a compare-and-set on that version, however late it lands.
 */
export class Planner {
  /**
   * @param current - newest known assignment
   * @param facts - what the node knows at this version
   * @returns the next assignment with the reasons, or null when nothing is to be changed
   */
  plan (current: Assignment, facts: Facts): Plan | null {
    const draft = new Draft(current)
    updateOwnMembership(draft, facts)
    handOverReleased(draft, facts)
    if (this.isCoordinator(current, facts)) this.coordinate(draft, facts)
    if (draft.changes.length === 0 && facts.shouldVoidVotes) draft.changes.push('made votes void')
    if (draft.changes.length === 0) return null
    return { next: draft.finish(), changes: draft.changes }
  }

  /** Voters coordinate, and every node once the voters are lost. */
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
