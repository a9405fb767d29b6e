import type { Incarnation } from '@rattanstep/core'

/** Counts the votes for the removal of holders at one version of the assignment. */
export class RemovalVotes {
  private version = 0
  private readonly votersByHolder = new Map<Incarnation, Set<Incarnation>>()

  /** @param version - new version of the assignment; votes for other versions are dropped */
  adopt (version: number): void {
    this.version = version
    this.votersByHolder.clear()
  }

  /**
   * Adds a vote; votes for another version than the current one are ignored.
   *
   * @param holder - the holder to be removed
   * @param voter - the voter in favour of the removal
   * @param version - version of the assignment that the vote applies to
   */
  add (holder: Incarnation, voter: Incarnation, version: number): void {
    if (version !== this.version) return
    const voters = this.votersByHolder.get(holder) ?? new Set<Incarnation>()
    this.votersByHolder.set(holder, voters.add(voter))
  }

  /** For each holder, the voters that voted for its removal. */
  get votes (): ReadonlyMap<Incarnation, ReadonlySet<Incarnation>> {
    return this.votersByHolder
  }
}
