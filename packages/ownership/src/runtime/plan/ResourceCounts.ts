import type { Holder, Incarnation, ResourceKey } from '@rattanstep/core'
import type { Facts } from '../../types/Facts.js'
import type { Draft } from './Draft.js'

/**
 * @param resource - a resource
 * @returns its kind, `worker` or `shard`; each kind is balanced on its own
 */
export function kindOf (resource: ResourceKey): string {
  return resource.slice(0, resource.indexOf('/'))
}

/** Counts the resources of each kind that each holder owns, and finds the candidate that owns the fewest. */
export class ResourceCounts {
  private readonly counts = new Map<string, Map<Incarnation, number>>()

  /**
   * @param draft - the draft whose owners are counted
   * @param candidates - holders that are eligible for resources
   */
  constructor (draft: Draft, private readonly candidates: readonly Incarnation[]) {
    for (const [resource, owner] of Object.entries(draft.owners)) this.add(resource, owner)
  }

  /**
   * Adds a resource to the counts.
   *
   * @param resource - the resource
   * @param owner - its owner
   */
  add (resource: ResourceKey, owner: Incarnation): void {
    const counts = this.countsOf(kindOf(resource))
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
  }

  /**
   * @param kind - kind of resource
   * @param owner - a holder
   * @returns how many resources of that kind it owns
   */
  count (kind: string, owner: Incarnation): number {
    return this.countsOf(kind).get(owner) ?? 0
  }

  /**
   * @param resource - the resource to assign
   * @returns the candidate that owns the fewest of its kind, or null without candidates
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

/** The facts that decide whether a holder is eligible for more resources. */
export type EligibilityFacts = Pick<Facts, 'heard' | 'leaving' | 'unlisted'>

/**
 * @param holders - holders in the assignment
 * @param facts - which of them are heard, leaving or unlisted
 * @returns the holders that are eligible for more resources, sorted
 */
export function eligibleHolders (holders: readonly Holder[], { heard, leaving, unlisted }: EligibilityFacts): Incarnation[] {
  return holders
    .filter(holder => !holder.draining)
    .map(holder => holder.incarnation)
    .filter(holder => heard.has(holder) && !leaving.has(holder) && !unlisted.has(holder))
    .sort()
}
