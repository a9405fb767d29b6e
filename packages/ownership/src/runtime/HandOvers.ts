import type { ResourceKey } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Follower } from './Follower.js'
import type { Knowledge } from './Knowledge.js'
import { candidates } from './plan/shares.js'
import type { Usability } from './plan/shares.js'
import type { Releases } from './Releases.js'
import type { Surplus } from './Surplus.js'

/** Why resources are handed over. */
export type HandOverReason = 'stop' | 'request' | 'gone' | 'balance'

/** What hand-overs are decided from. */
export interface HandOversOptions {
  log: Log
  follower: Follower
  knowledge: Knowledge
  releases: Releases
  surplus: Surplus
  /** What tells which holders may be given more. */
  usability: () => Usability
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
    return this.gone().length > 0 || this.excess().length > 0
  }

  /** Stops admitting for what is gone and for what is above the even share. */
  begin (): void {
    const gone = this.gone()
    if (gone.length > 0) this.stopAdmitting(gone, 'gone')
    const excess = this.excess()
    if (excess.length === 0) return
    const { surplus, releases, log } = this.options
    surplus.touch()
    releases.try(excess)
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
    this.options.releases.want(resources)
    this.options.log.write(EVENTS.released, { resources, reason })
  }

  private gone (): ResourceKey[] {
    const { knowledge, releases } = this.options
    return knowledge.gone().filter(resource => !releases.has(resource))
  }

  private excess (): ResourceKey[] {
    const { follower, releases, surplus, usability, isDraining } = this.options
    if (isDraining() || !releases.isEmpty()) return []
    const { assignment } = follower
    return surplus.find({ assignment, candidates: candidates(assignment.holders, usability()) })
  }
}
