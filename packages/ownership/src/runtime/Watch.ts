import { EMPTY_ASSIGNMENT } from '@rattanstep/core'
import type { Assignment, Clock, Incarnation } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { isMajority, namedVoters } from '../utils/quorum.js'
import type { Heartbeats } from './Heartbeats.js'
import type { Voter } from './Voter.js'

/** What the watch needs. */
export interface WatchOptions {
  self: Incarnation
  clock: Clock
  log: Log
  lease: number
  heartbeats: Heartbeats
  voter: Voter
}

/**
 * Finds holders that were silent towards this voter for a whole lease. A voter that was itself paused accuses
 * nobody, and one that hears too few other voters does not vote: it would only bar holders that are well.
 */
export class Watch {
  private readonly options: WatchOptions
  private assignment: Assignment = EMPTY_ASSIGNMENT
  /** Since when each holder should be heard here. */
  private readonly since = new Map<Incarnation, number>()
  private readonly suspected = new Set<Incarnation>()
  private lastLook: number

  /** @param options - see the type */
  constructor (options: WatchOptions) {
    this.options = options
    this.lastLook = options.clock.now()
  }

  /** To be called at each heartbeat; a long time between two calls tells that the process was paused. */
  look (): void {
    const { clock, lease } = this.options
    const now = clock.now()
    if (now - this.lastLook >= lease / 2) {
      for (const holder of this.since.keys()) this.since.set(holder, now)
    }
    this.lastLook = now
  }

  /** @param assignment - the assignment followed from now on */
  adopt (assignment: Assignment): void {
    const { self, clock } = this.options
    const watches = namedVoters(assignment).includes(self)
    const holders = watches ? assignment.holders.map(holder => holder.incarnation) : []
    this.assignment = assignment
    for (const holder of this.since.keys()) {
      if (!holders.includes(holder)) this.since.delete(holder)
    }
    for (const holder of holders) {
      if (holder !== self && !this.since.has(holder)) this.since.set(holder, clock.now())
    }
  }

  /** @returns holders whose promise by this voter lapsed and who were not heard for a whole lease */
  suspects (): Incarnation[] {
    const now = this.options.clock.now()
    const silent = [...this.since.keys()].filter(holder => this.isSilent(holder, now))
    this.report(silent)
    return silent
  }

  /**
   * @param within - ms
   * @returns whether a holder was heard after this voter backed its removal at the version followed
   */
  hasWronged (within: number): boolean {
    const { clock, heartbeats, voter } = this.options
    const { version } = this.assignment
    const now = clock.now()
    return [...this.since.keys()].some(holder =>
      voter.hasVoted(holder, version) && now - heartbeats.lastHeard(holder) < within)
  }

  /** @returns whether this voter hears a majority of each named set, with which a removal can succeed */
  hearsMajority (): boolean {
    const { heartbeats, lease } = this.options
    const heard = heartbeats.heard(lease)
    const { voters, nextVoters } = this.assignment
    return isMajority(voters, heard) && (nextVoters === null || isMajority(nextVoters, heard))
  }

  private isSilent (holder: Incarnation, now: number): boolean {
    const { heartbeats, lease, voter } = this.options
    const last = Math.max(this.since.get(holder)!, heartbeats.lastHeard(holder))
    return now - last >= lease && !voter.isPromised(holder, now)
  }

  private report (silent: readonly Incarnation[]): void {
    for (const holder of this.suspected) {
      if (!silent.includes(holder)) this.suspected.delete(holder)
    }
    for (const holder of silent) {
      if (this.suspected.has(holder)) continue
      this.suspected.add(holder)
      this.options.log.write(EVENTS.holderSuspected, { holder, version: this.assignment.version })
    }
  }
}
