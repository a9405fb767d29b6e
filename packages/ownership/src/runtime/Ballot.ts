import type { Incarnation } from '@rattanstep/core'

/** Collects votes for removals at one version. */
export class Ballot {
  private version = 0
  private readonly given = new Map<Incarnation, Set<Incarnation>>()

  /** @param version - version followed from now on; votes of other versions are dropped */
  adopt (version: number): void {
    this.version = version
    this.given.clear()
  }

  /**
   * @param holder - whose removal is backed
   * @param voter - who backs it
   * @param version - version that the vote is bound to
   */
  add (holder: Incarnation, voter: Incarnation, version: number): void {
    if (version !== this.version) return
    const voters = this.given.get(holder) ?? new Set<Incarnation>()
    this.given.set(holder, voters.add(voter))
  }

  /** For each holder the voters that backed its removal. */
  get votes (): ReadonlyMap<Incarnation, ReadonlySet<Incarnation>> {
    return this.given
  }
}
