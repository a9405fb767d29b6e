import type { Clock, Holder, Incarnation, Instance, ResourceKey } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Facts } from '../types/Facts.js'
import type { Timing } from '../types/Timing.js'
import { instanceOf } from '../utils/instanceOf.js'
import { allVoters } from '../utils/quorum.js'
import type { FailureDetector } from './FailureDetector.js'
import type { Follower } from './Follower.js'
import type { Heartbeats } from './Heartbeats.js'
import type { EligibilityFacts } from './plan/ResourceCounts.js'
import type { Releases } from './Releases.js'
import type { RemovalVotes } from './RemovalVotes.js'
import { VoterLossDetector, isGone } from './VoterLossDetector.js'

/** Sources of the view. */
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

/** This node's view of the cell: collects the facts from which changes of the assignment are planned. */
export class LocalView {
  private readonly options: LocalViewOptions
  private readonly voterLosses: VoterLossDetector
  private firstUnownedAt: number | null = null
  /** For each resource of this node that is no longer listed, since when, in monotonic ms. */
  private readonly missingSince = new Map<ResourceKey, number>()

  /** @param options - see the type */
  constructor (options: LocalViewOptions) {
    this.options = options
    const { clock, log, timing } = options
    const listed = timing.lease * (1 + timing.margin)
    this.voterLosses = new VoterLossDetector({ clock, log, delays: { listed, neverListed: Math.max(listed, timing.maxListLag) } })
  }

  /** Since when at least one resource has had no owner, in monotonic ms; null when all have one. */
  get unownedSince (): number | null {
    return this.firstUnownedAt
  }

  /** @returns the facts from which the next assignment is planned */
  facts (): Facts {
    const { timing, removalVotes, failureDetector, heartbeats, instances } = this.options
    const eligibility = this.eligibilityFacts()
    return {
      ...eligibility,
      self: this.options.self(),
      votes: removalVotes.votes,
      activeVoters: heartbeats.activeVoters(),
      listed: this.listedVoters(),
      lost: this.voterLosses.detect({ assignment: this.assignment, instances: instances(), heard: eligibility.heard }),
      resources: this.resources(),
      released: this.owned().filter(resource => this.options.releases.has(resource)),
      canClaim: this.firstUnownedAt !== null && this.options.clock.now() - this.firstUnownedAt >= timing.claimDelay,
      shouldVoidVotes: failureDetector.hasVotedAgainstLiveHolder(timing.heartbeat * 2)
    }
  }

  /** @returns listed resources without an owner; none while the platform's list is unknown */
  unowned (): ResourceKey[] {
    const { owners } = this.assignment
    return (this.resources() ?? []).filter(resource => owners[resource] === undefined)
  }

  /** @returns resources that this node owns in the newest known assignment */
  owned (): ResourceKey[] {
    const { owners } = this.assignment
    const self = this.options.self().incarnation
    return Object.keys(owners).filter(resource => owners[resource] === self)
  }

  /** Updates since when resources have had no owner or have been missing from the list; must be called at each heartbeat. */
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

  /** @returns resources of this node that have been missing from the list for at least `dropDelay` */
  goneResources (): ResourceKey[] {
    const now = this.options.clock.now()
    const { dropDelay } = this.options.timing
    return [...this.missingSince].filter(([, since]) => now - since >= dropDelay).map(([resource]) => resource)
  }

  /** @returns the facts that decide which holders are eligible for more resources */
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

  private listedVoters (): ReadonlySet<Incarnation> {
    const { assignment } = this
    const evidence = { assignment, instances: this.options.instances(), heard: new Set<Incarnation>() }
    if (evidence.instances === null) return new Set()
    return new Set(allVoters(assignment).filter(voter => !isGone(voter, evidence)))
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

/** Number of unowned resources that a log line names at most. */
const MAX_LOGGED_RESOURCES = 10
