import type { Clock, Holder, Instance, ResourceKey } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Facts } from '../types/Facts.js'
import type { Timing } from '../types/Timing.js'
import { instanceOf } from '../utils/instanceOf.js'
import type { FailureDetector } from './FailureDetector.js'
import type { Follower } from './Follower.js'
import type { Heartbeats } from './Heartbeats.js'
import type { EligibilityFacts } from './plan/ResourceCounts.js'
import type { Releases } from './Releases.js'
import type { RemovalVotes } from './RemovalVotes.js'
import { VoterLossDetector } from './VoterLossDetector.js'

/** What the knowledge is gathered from. */
export interface LocalViewOptions {
  self: () => Holder
  clock: Clock
  log: Log
  timing: Timing
  follower: Follower
  heartbeats: Heartbeats
  removalVotes: RemovalVotes
  releases: Releases
  failureDetector: FailureDetector
  instances: () => Instance[] | null
  resources: () => ResourceKey[]
}

/** Gathers what a plan is made from. */
export class LocalView {
  private readonly options: LocalViewOptions
  private readonly voterLosses: VoterLossDetector
  private firstUnownedAt: number | null = null
  /** Since when each of this node's resources is no longer to be owned. */
  private readonly missingSince = new Map<ResourceKey, number>()

  /** @param options - see the type */
  constructor (options: LocalViewOptions) {
    this.options = options
    const { clock, log, timing } = options
    const seen = timing.lease * (1 + timing.margin)
    this.voterLosses = new VoterLossDetector({ clock, log, delays: { listed: seen, neverListed: Math.max(seen, timing.maxListLag) } })
  }

  /** Since when something has been without an owner, in monotonic ms; null when all is owned. */
  get unownedSince (): number | null {
    return this.firstUnownedAt
  }

  /** @returns the facts for a plan */
  facts (): Facts {
    const { timing, removalVotes, failureDetector, heartbeats, instances } = this.options
    const eligibility = this.eligibilityFacts()
    return {
      ...eligibility,
      self: this.options.self(),
      votes: removalVotes.votes,
      activeVoters: heartbeats.activeVoters(),
      lost: this.voterLosses.detect({ assignment: this.assignment, instances: instances(), heard: eligibility.heard }),
      resources: this.resources(),
      released: this.owned().filter(resource => this.options.releases.has(resource)),
      canClaim: this.firstUnownedAt !== null && this.options.clock.now() - this.firstUnownedAt >= timing.claimDelay,
      shouldVoidVotes: failureDetector.hasVotedAgainstLiveHolder(timing.heartbeat * 2)
    }
  }

  /** @returns resources that should have an owner and have none */
  unowned (): ResourceKey[] {
    const { owners } = this.assignment
    return (this.resources() ?? []).filter(resource => owners[resource] === undefined)
  }

  /** @returns what this node owns in the newest known assignment */
  owned (): ResourceKey[] {
    const { owners } = this.assignment
    const self = this.options.self().incarnation
    return Object.keys(owners).filter(resource => owners[resource] === self)
  }

  /** Takes note of what is without an owner and what is gone; to be called at each heartbeat. */
  refresh (): void {
    const { clock, log } = this.options
    const unowned = this.unowned()
    if (unowned.length === 0) this.firstUnownedAt = null
    if (unowned.length > 0 && this.firstUnownedAt === null) {
      this.firstUnownedAt = clock.now()
      log.write(EVENTS.resourcesUnowned, { count: unowned.length, resources: unowned.slice(0, MAX_LOGGED_RESOURCES) })
    }
    this.refreshMissing()
  }

  /** @returns resources of this node that have long been missing from the list */
  goneResources (): ResourceKey[] {
    const now = this.options.clock.now()
    const { dropDelay } = this.options.timing
    return [...this.missingSince].filter(([, since]) => now - since >= dropDelay).map(([resource]) => resource)
  }

  /** @returns what tells which holders may be given more */
  eligibilityFacts (): EligibilityFacts {
    const { heartbeats, timing, instances } = this.options
    const heard = heartbeats.heardWithin(timing.lease)
    const list = instances()
    if (list === null) return { heard, leaving: new Set(), unlisted: new Set() }
    this.voterLosses.recordListed(list)
    const live = new Set(list.filter(instance => instance.state === 'live').map(instance => instance.id))
    const missing = this.assignment.holders.map(holder => holder.incarnation).filter(holder => !live.has(instanceOf(holder)))
    return {
      heard,
      leaving: new Set(missing.filter(holder => this.voterLosses.wasListed(holder))),
      unlisted: new Set(missing.filter(holder => !this.voterLosses.wasListed(holder)))
    }
  }

  private get assignment (): Follower['assignment'] {
    return this.options.follower.assignment
  }

  private resources (): ResourceKey[] | null {
    if (this.options.instances() === null) return null
    return this.options.resources()
  }

  private refreshMissing (): void {
    const resources = this.resources()
    if (resources === null) return
    const listed = new Set(resources)
    const missing = this.owned().filter(resource => !listed.has(resource))
    for (const resource of this.missingSince.keys()) {
      if (!missing.includes(resource)) this.missingSince.delete(resource)
    }
    for (const resource of missing) {
      if (!this.missingSince.has(resource)) this.missingSince.set(resource, this.options.clock.now())
    }
  }
}

/** How many resources a log line names. */
const MAX_LOGGED_RESOURCES = 10
