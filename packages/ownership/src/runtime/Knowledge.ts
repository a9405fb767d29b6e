import type { Clock, Holder, Instance, ResourceKey } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Facts } from '../types/Facts.js'
import type { Timing } from '../types/Timing.js'
import { instanceOf } from '../utils/instanceOf.js'
import type { Ballot } from './Ballot.js'
import type { Follower } from './Follower.js'
import type { Heartbeats } from './Heartbeats.js'
import { Losses } from './Losses.js'
import type { Usability } from './plan/shares.js'
import type { Releases } from './Releases.js'
import type { Watch } from './Watch.js'

/** What the knowledge is gathered from. */
export interface KnowledgeOptions {
  self: () => Holder
  clock: Clock
  log: Log
  timing: Timing
  follower: Follower
  heartbeats: Heartbeats
  ballot: Ballot
  releases: Releases
  watch: Watch
  instances: () => Instance[] | null
  resources: () => ResourceKey[]
}

/** Gathers what a plan is made from. */
export class Knowledge {
  private readonly options: KnowledgeOptions
  private readonly losses: Losses
  private unownedAt: number | null = null
  /** Since when each of this node's resources is no longer to be owned. */
  private readonly missing = new Map<ResourceKey, number>()

  /** @param options - see the type */
  constructor (options: KnowledgeOptions) {
    this.options = options
    const { clock, log, timing } = options
    const seen = timing.lease * (1 + timing.margin)
    this.losses = new Losses({ clock, log, waits: { seen, unseen: Math.max(seen, timing.listLag) } })
  }

  /** Since when something has been without an owner, in monotonic ms; null when all is owned. */
  get unownedSince (): number | null {
    return this.unownedAt
  }

  /** @returns the facts for a plan */
  facts (): Facts {
    const { timing, ballot, watch, heartbeats, instances } = this.options
    const usability = this.usability()
    return {
      ...usability,
      self: this.options.self(),
      votes: ballot.votes,
      countsBy: heartbeats.countsBy(),
      lost: this.losses.judge({ assignment: this.assignment, instances: instances(), heard: usability.heard }),
      resources: this.resources(),
      released: this.owned().filter(resource => this.options.releases.has(resource)),
      claims: this.unownedAt !== null && this.options.clock.now() - this.unownedAt >= timing.claimDelay,
      voidsVotes: watch.hasWronged(timing.heartbeat * 2)
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
  look (): void {
    const { clock, log } = this.options
    const unowned = this.unowned()
    if (unowned.length === 0) this.unownedAt = null
    if (unowned.length > 0 && this.unownedAt === null) {
      this.unownedAt = clock.now()
      log.write(EVENTS.resourcesUnowned, { count: unowned.length, resources: unowned.slice(0, MOST_NAMED) })
    }
    this.lookForMissing()
  }

  /** @returns resources of this node that have long been missing from the list */
  gone (): ResourceKey[] {
    const now = this.options.clock.now()
    const { dropDelay } = this.options.timing
    return [...this.missing].filter(([, since]) => now - since >= dropDelay).map(([resource]) => resource)
  }

  /** @returns what tells which holders may be given more */
  usability (): Usability {
    const { heartbeats, timing, instances } = this.options
    const heard = heartbeats.heard(timing.lease)
    const list = instances()
    if (list === null) return { heard, leaving: new Set(), unlisted: new Set() }
    this.losses.see(list)
    const live = new Set(list.filter(instance => instance.state === 'live').map(instance => instance.id))
    const missing = this.assignment.holders.map(holder => holder.incarnation).filter(holder => !live.has(instanceOf(holder)))
    return {
      heard,
      leaving: new Set(missing.filter(holder => this.losses.wasListed(holder))),
      unlisted: new Set(missing.filter(holder => !this.losses.wasListed(holder)))
    }
  }

  private get assignment (): Follower['assignment'] {
    return this.options.follower.assignment
  }

  private resources (): ResourceKey[] | null {
    if (this.options.instances() === null) return null
    return this.options.resources()
  }

  private lookForMissing (): void {
    const resources = this.resources()
    if (resources === null) return
    const listed = new Set(resources)
    const missing = this.owned().filter(resource => !listed.has(resource))
    for (const resource of this.missing.keys()) {
      if (!missing.includes(resource)) this.missing.delete(resource)
    }
    for (const resource of missing) {
      if (!this.missing.has(resource)) this.missing.set(resource, this.options.clock.now())
    }
  }
}

/** How many resources a log line names. */
const MOST_NAMED = 10
