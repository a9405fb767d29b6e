import type { Assignment, Clock, Incarnation, ResourceKey } from '@rattanstep/core'
import { Draft } from './plan/Draft.js'
import { kindOf, ResourceCounts } from './plan/ResourceCounts.js'

/** Input of `Surplus.find`. */
export interface SurplusInput {
  assignment: Assignment
  /** Holders that are eligible for resources; includes this node if it is. */
  candidates: readonly Incarnation[]
}

/** Finds the resources that this node owns above its even share, at most once per interval. */
export class Surplus {
  private readonly clock: Clock
  private readonly self: Incarnation
  private readonly interval: number
  private lastHandOverAt: number

  /** @param options - the clock, this node, and the minimum time in ms between two hand-overs */
  constructor (options: { clock: Clock, self: Incarnation, interval: number }) {
    this.clock = options.clock
    this.self = options.self
    this.interval = options.interval
    this.lastHandOverAt = this.clock.now()
  }

  /** Starts the interval before the next hand-over. */
  recordHandOver (): void {
    this.lastHandOverAt = this.clock.now()
  }

  /**
   * @param input - the assignment and the eligible holders
   * @returns resources to hand over; none within the interval after the last hand-over
   */
  find ({ assignment, candidates }: SurplusInput): ResourceKey[] {
    if (this.clock.now() - this.lastHandOverAt < this.interval) return []
    if (!candidates.includes(this.self) || candidates.length < 2) return []
    const draft = new Draft(assignment)
    const counts = new ResourceCounts(draft, candidates.filter(candidate => candidate !== this.self))
    const owned = draft.ownedBy(this.self).sort()
    const kinds = new Set(owned.map(kindOf))
    return [...kinds].flatMap(kind => findExcess(owned.filter(resource => kindOf(resource) === kind), counts))
  }
}

/** Moves resources one by one to the holder that owns the fewest, while the two counts differ by two or more. */
function findExcess (owned: readonly ResourceKey[], counts: ResourceCounts): ResourceKey[] {
  const excess: ResourceKey[] = []
  for (const resource of owned) {
    const least = counts.leastLoaded(resource)
    if (least === null) break
    const remaining = owned.length - excess.length
    if (remaining - counts.count(kindOf(resource), least) < 2) break
    excess.push(resource)
    counts.add(resource, least)
  }
  return excess
}
