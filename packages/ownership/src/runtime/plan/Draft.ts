import type { Assignment, Holder, Incarnation, ResourceKey } from '@rattanstep/core'

/** Mutable draft of the next assignment. */
export class Draft {
  readonly current: Assignment
  /** One line of text for each change. */
  readonly changes: string[] = []
  holders: Holder[]
  owners: Record<ResourceKey, Incarnation>
  voters: Incarnation[]
  nextVoters: Incarnation[] | null

  /** @param current - the assignment that the next one replaces */
  constructor (current: Assignment) {
    this.current = current
    this.holders = [...current.holders]
    this.owners = { ...current.owners }
    this.voters = current.voters
    this.nextVoters = current.nextVoters
  }

  /**
   * @param incarnation - incarnation of a node
   * @returns whether it is a holder in the draft
   */
  hasHolder (incarnation: Incarnation): boolean {
    return this.holders.some(holder => holder.incarnation === incarnation)
  }

  /**
   * @param owner - incarnation of a holder
   * @returns the resources that it owns in the draft
   */
  ownedBy (owner: Incarnation): ResourceKey[] {
    return Object.keys(this.owners).filter(resource => this.owners[resource] === owner)
  }

  /** @returns the next assignment, with the version after the current one */
  finish (): Assignment {
    return {
      version: this.current.version + 1,
      holders: this.holders,
      owners: this.owners,
      voters: this.voters,
      nextVoters: this.nextVoters
    }
  }
}
