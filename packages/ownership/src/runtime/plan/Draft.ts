import type { Assignment, Holder, Incarnation, ResourceKey } from '@rattanstep/core'

/** The next assignment while it is put together. */
export class Draft {
  readonly current: Assignment
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
   * @param incarnation - a node
   * @returns whether it is a holder
   */
  hasHolder (incarnation: Incarnation): boolean {
    return this.holders.some(holder => holder.incarnation === incarnation)
  }

  /**
   * @param owner - a holder
   * @returns what it owns
   */
  ownedBy (owner: Incarnation): ResourceKey[] {
    return Object.keys(this.owners).filter(resource => this.owners[resource] === owner)
  }

  /** @returns the next assignment, of the version after the current one */
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
