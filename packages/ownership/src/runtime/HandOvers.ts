import type { ResourceKey } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Follower } from './Follower.js'
import type { LocalView } from './LocalView.js'
import { eligibleHolders } from './plan/ResourceCounts.js'
import type { EligibilityFacts } from './plan/ResourceCounts.js'
import type { Releases } from './Releases.js'
import type { Surplus } from './Surplus.js'

/**
 * Why resources are handed over.
 * - `stop`: planned stop of this node
 * - `request`: `Ownership.release` was called
 * - `gone`: the resource is no longer listed
 * - `balance`: this node owns more than its even share
 */
export type HandOverReason = 'stop' | 'request' | 'gone' | 'balance'

/** Dependencies of the hand-over decision. */
export interface HandOversOptions {
  log: Log
  follower: Follower
  view: LocalView
  releases: Releases
  surplus: Surplus
  /** Returns the facts that decide which holders are eligible for more resources. */
  eligibilityFacts: () => EligibilityFacts
  isDraining: () => boolean
}

/** Decides which resources this node releases, that is, stops admitting for so that they can be handed over. */
export class HandOvers {
  private readonly options: HandOversOptions

  /** @param options - dependencies of the hand-over decision */
  constructor (options: HandOversOptions) {
    this.options = options
  }

  /** @returns whether this node still admits for a resource that it should hand over */
  isDue (): boolean {
    return this.newlyGone().length > 0 || this.newlyExcess().length > 0
  }

  /** Releases resources that are no longer listed, and resources above the even share. */
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
   * @param resources - resources that this node owns
   * @param reason - the reason for the log
   */
  stopAdmitting (resources: readonly ResourceKey[], reason: HandOverReason): void {
    if (resources.length === 0) return
    this.options.releases.add(resources)
    this.options.log.write(EVENTS.released, { resources, reason })
  }

  /** Returns resources that are no longer listed and not yet released. */
  private newlyGone (): ResourceKey[] {
    const { view, releases } = this.options
    return view.goneResources().filter(resource => !releases.has(resource))
  }

  /** Returns resources above the even share; none while this node drains or another release is pending. */
  private newlyExcess (): ResourceKey[] {
    const { follower, releases, surplus, eligibilityFacts, isDraining } = this.options
    if (isDraining() || !releases.isEmpty()) return []
    const { assignment } = follower
    return surplus.find({ assignment, candidates: eligibleHolders(assignment.holders, eligibilityFacts()) })
  }
}
