import type { ResourceKey } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Follower } from './Follower.js'
import type { LocalView } from './LocalView.js'
import { eligibleHolders } from './plan/ResourceCounts.js'
import type { EligibilityFacts } from './plan/ResourceCounts.js'
import type { Releases } from './Releases.js'
import type { Surplus } from './Surplus.js'

/** Why resources are handed over. */
export type HandOverReason = 'stop' | 'request' | 'gone' | 'balance'

/** What hand-overs are decided from. */
export interface HandOversOptions {
  log: Log
  follower: Follower
  view: LocalView
  releases: Releases
  surplus: Surplus
  /** What tells which holders may be given more. */
  eligibilityFacts: () => EligibilityFacts
  isDraining: () => boolean
}

/** Decides which resources this node stops admitting for. */
export class HandOvers {
  private readonly options: HandOversOptions

  /** @param options - see the type */
  constructor (options: HandOversOptions) {
    this.options = options
  }

  /** @returns whether something is to be handed over that is still admitted for */
  isDue (): boolean {
    return this.newlyGone().length > 0 || this.newlyExcess().length > 0
  }

  /** Stops admitting for what is gone and for what is above the even share. */
  releaseDue (): void {
    const gone = this.newlyGone()
    if (gone.length > 0) this.stopAdmitting(gone, 'gone')
    const excess = this.newlyExcess()
    if (excess.length === 0) return
    const { surplus, releases, log } = this.options
    surplus.recordHandOver()
    releases.addTentative(excess)
    log.write(EVENTS.released, { resources: excess, reason: 'balance' })
  }

  /**
   * Stops admitting until the resources are handed over.
   *
   * @param resources - resources of this node
   * @param reason - why
   */
  stopAdmitting (resources: readonly ResourceKey[], reason: HandOverReason): void {
    if (resources.length === 0) return
    this.options.releases.add(resources)
    this.options.log.write(EVENTS.released, { resources, reason })
  }

  private newlyGone (): ResourceKey[] {
    const { view, releases } = this.options
    return view.goneResources().filter(resource => !releases.has(resource))
  }

  private newlyExcess (): ResourceKey[] {
    const { follower, releases, surplus, eligibilityFacts, isDraining } = this.options
    if (isDraining() || !releases.isEmpty()) return []
    const { assignment } = follower
    return surplus.find({ assignment, candidates: eligibleHolders(assignment.holders, eligibilityFacts()) })
  }
}
