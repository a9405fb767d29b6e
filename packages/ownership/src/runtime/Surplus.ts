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
    const shares = new Shares(new Draft(assignment), candidates)
    const owned = new Draft(assignment).ownedBy(this.self).sort()
    const kinds = new Set(owned.map(kindOf))
    return [...kinds].flatMap(kind => this.excess(kind, owned, shares, candidates))
  }

  private excess (
    kind: string,
    owned: readonly ResourceKey[],
    shares: Shares,
    candidates: readonly Incarnation[]
  ): ResourceKey[] {
    const total = candidates.reduce((sum, candidate) => sum + shares.count(kind, candidate), 0)
    const share = Math.ceil(total / candidates.length)
    return owned.filter(resource => kindOf(resource) === kind).slice(share)
  }
}
