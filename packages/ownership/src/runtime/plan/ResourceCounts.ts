import type { Holder, Incarnation, ResourceKey } from '@rattanstep/core'
import type { Facts } from '../../types/Facts.js'
import type { Draft } from './Draft.js'

/**
 * @param resource - what is owned
 * @returns its kind, which is shared out by itself: `worker` or `shard`
 */
export function kindOf (resource: ResourceKey): string {
  return resource.slice(0, resource.indexOf('/'))
}

/** How many resources of one kind each candidate owns; finds the one that owns least. */
export class ResourceCounts {
  private readonly counts = new Map<string, Map<Incarnation, number>>()

  /**
   * @param draft - the assignment as it stands
   * @param candidates - holders that may be given resources
   */
  constructor (draft: Draft, private readonly candidates: readonly Incarnation[]) {
    for (const [resource, owner] of Object.entries(draft.owners)) this.add(resource, owner)
  }

  /**
   * Counts a resource.
   *
   * @param resource - what is owned
   * @param owner - its owner
   */
  add (resource: ResourceKey, owner: Incarnation): void {
    const counts = this.countsOf(kindOf(resource))
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
  }

  /**
   * @param kind - kind of resource
   * @param owner - a holder
   * @returns how many it owns
   */
  count (kind: string, owner: Incarnation): number {
    return this.countsOf(kind).get(owner) ?? 0
  }

  /**
   * @param resource - what is to be owned
   * @returns the candidate that owns least of its kind, or null without candidates
   */
  leastLoaded (resource: ResourceKey): Incarnation | null {
    const counts = this.countsOf(kindOf(resource))
    let best: Incarnation | null = null
    for (const candidate of this.candidates) {
      if (best === null || (counts.get(candidate) ?? 0) < (counts.get(best) ?? 0)) best = candidate
    }
    return best
  }

  private countsOf (kind: string): Map<Incarnation, number> {
    const counts = this.counts.get(kind) ?? new Map<Incarnation, number>()
    this.counts.set(kind, counts)
    return counts
  }
}

/** What tells whether a holder may be given more. */
export type EligibilityFacts = Pick<Facts, 'heard' | 'leaving' | 'unlisted'>

/**
 * @param holders - holders of the assignment
 * @param facts - what is known of them
 * @returns the holders that may be given resources, sorted
 */
export function eligibleHolders (holders: readonly Holder[], { heard, leaving, unlisted }: EligibilityFacts): Incarnation[] {
  return holders
    .filter(holder => !holder.draining)
    .map(holder => holder.incarnation)
    .filter(holder => heard.has(holder) && !leaving.has(holder) && !unlisted.has(holder))
    .sort()
}
