import type { Assignment, Clock, Incarnation, ResourceKey } from '@rattanstep/core'
import { Draft } from './plan/Draft.js'
import { kindOf, Shares } from './plan/shares.js'

/** What the judgement rests on. */
export interface SurplusFacts {
  assignment: Assignment
  /** Holders that may be given resources, this node too if it may. */
  candidates: readonly Incarnation[]
}

/** Finds what a holder owns above its even share, not more often than once in a while. */
export class Surplus {
  private readonly clock: Clock
  private readonly self: Incarnation
  private readonly pause: number
  private last: number

  /** @param options - the clock, this node, and the least time in ms between two hand-overs */
  constructor (options: { clock: Clock, self: Incarnation, pause: number }) {
    this.clock = options.clock
    this.self = options.self
    this.pause = options.pause
    this.last = this.clock.now()
  }

  /** Notes that a hand-over was tried now. */
  touch (): void {
    this.last = this.clock.now()
  }

  /**
   * @param facts - what is known
   * @returns resources to hand over, none while the last hand-over is recent
   */
  find ({ assignment, candidates }: SurplusFacts): ResourceKey[] {
    if (this.clock.now() - this.last < this.pause) return []
    if (!candidates.includes(this.self) || candidates.length < 2) return []
    const draft = new Draft(assignment)
    const shares = new Shares(draft, candidates.filter(candidate => candidate !== this.self))
    const owned = draft.ownedBy(this.self).sort()
    const kinds = new Set(owned.map(kindOf))
    return [...kinds].flatMap(kind => excess(owned.filter(resource => kindOf(resource) === kind), shares))
  }
}

/** One after another goes to the holder that owns least, as long as that makes the two more even. */
function excess (owned: readonly ResourceKey[], shares: Shares): ResourceKey[] {
  const given: ResourceKey[] = []
  for (const resource of owned) {
    const least = shares.least(resource)
    if (least === null) break
    const left = owned.length - given.length
    if (left - shares.count(kindOf(resource), least) < 2) break
    given.push(resource)
    shares.add(resource, least)
  }
  return given
}
