import type { Incarnation } from '@rattanstep/core'

/** Collects votes for removals at one version. */
export class RemovalVotes {
  private version = 0
  private readonly votersByHolder = new Map<Incarnation, Set<Incarnation>>()

  /** @param version - version followed from now on; votes of other versions are dropped */
  adopt (version: number): void {
    this.version = version
    this.votersByHolder.clear()
  }

  /**
   * @param holder - whose removal is backed
   * @param voter - who backs it
   * @param version - version that the vote is bound to
   */
  add (holder: Incarnation, voter: Incarnation, version: number): void {
    if (version !== this.version) return
    const voters = this.votersByHolder.get(holder) ?? new Set<Incarnation>()
    this.votersByHolder.set(holder, voters.add(voter))
  }

  /** For each holder the voters that backed its removal. */
  get votes (): ReadonlyMap<Incarnation, ReadonlySet<Incarnation>> {
    return this.votersByHolder
  }
}
