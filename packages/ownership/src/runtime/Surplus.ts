import type { Assignment, Clock, Incarnation, ResourceKey } from '@rattanstep/core'
import { Draft } from './plan/Draft.js'
import { kindOf, ResourceCounts } from './plan/ResourceCounts.js'

/** What the judgement rests on. */
export interface SurplusInput {
  assignment: Assignment
  /** Holders that may be given resources, this node too if it may. */
  candidates: readonly Incarnation[]
}

/** Finds what a holder owns above its even share, not more often than once in a while. */
export class Surplus {
  private readonly clock: Clock
  private readonly self: Incarnation
  private readonly interval: number
  private lastHandOverAt: number

  /** @param options - the clock, this node, and the least time in ms between two hand-overs */
  constructor (options: { clock: Clock, self: Incarnation, interval: number }) {
    this.clock = options.clock
    this.self = options.self
    this.interval = options.interval
    this.lastHandOverAt = this.clock.now()
  }

  /** Notes that a hand-over was tried now. */
  recordHandOver (): void {
    this.lastHandOverAt = this.clock.now()
  }

  /**
   * @param facts - what is known
   * @returns resources to hand over, none while the last hand-over is recent
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

/** One after another goes to the holder that owns least, as long as that makes the two more even. */
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
