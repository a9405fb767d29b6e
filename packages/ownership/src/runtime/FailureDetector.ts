import { EMPTY_ASSIGNMENT } from '@rattanstep/core'
import type { Assignment, Clock, Incarnation } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { isMajority, allVoters } from '../utils/quorum.js'
import type { Heartbeats } from './Heartbeats.js'
import type { Voter } from './Voter.js'

/** What the watch needs. */
export interface FailureDetectorOptions {
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
export class FailureDetector {
  private readonly options: FailureDetectorOptions
  private assignment: Assignment = EMPTY_ASSIGNMENT
  /** Since when each holder should be heard here. */
  private readonly watchedSince = new Map<Incarnation, number>()
  private readonly loggedSuspects = new Set<Incarnation>()
  private lastCheckAt: number

  /** @param options - see the type */
  constructor (options: FailureDetectorOptions) {
    this.options = options
    this.lastCheckAt = options.clock.now()
  }

  /** To be called at each heartbeat; a long time between two calls tells that the process was paused. */
  detectPause (): void {
    const { clock, lease } = this.options
    const now = clock.now()
    if (now - this.lastCheckAt >= lease / 2) {
      for (const holder of this.watchedSince.keys()) this.watchedSince.set(holder, now)
    }
    this.lastCheckAt = now
  }

  /** @param assignment - the assignment followed from now on */
  adopt (assignment: Assignment): void {
    const { self, clock } = this.options
    const isVoter = allVoters(assignment).includes(self)
    const holders = isVoter ? assignment.holders.map(holder => holder.incarnation) : []
    this.assignment = assignment
    for (const holder of this.watchedSince.keys()) {
      if (!holders.includes(holder)) this.watchedSince.delete(holder)
    }
    for (const holder of holders) {
      if (holder !== self && !this.watchedSince.has(holder)) this.watchedSince.set(holder, clock.now())
    }
  }

  /** @returns holders whose promise by this voter lapsed and who were not heard for a whole lease */
  suspects (): Incarnation[] {
    const now = this.options.clock.now()
    const silent = [...this.watchedSince.keys()].filter(holder => this.isSilent(holder, now))
    this.logNewSuspects(silent)
    return silent
  }

  /**
   * @param within - ms
   * @returns whether a holder was heard after this voter backed its removal at the version followed
   */
  hasVotedAgainstLiveHolder (within: number): boolean {
    const { clock, heartbeats, voter } = this.options
    const { version } = this.assignment
    const now = clock.now()
    return [...this.watchedSince.keys()].some(holder =>
      voter.hasVoted(holder, version) && now - heartbeats.lastHeardAt(holder) < within)
  }

  /** @returns whether this voter hears a majority of each named set, with which a removal can succeed */
  hearsMajority (): boolean {
    const { heartbeats, lease } = this.options
    const heard = heartbeats.heardWithin(lease)
    const { voters, nextVoters } = this.assignment
    return isMajority(voters, heard) && (nextVoters === null || isMajority(nextVoters, heard))
  }

  private isSilent (holder: Incarnation, now: number): boolean {
    const { heartbeats, lease, voter } = this.options
    const lastSignAt = Math.max(this.watchedSince.get(holder)!, heartbeats.lastHeardAt(holder))
    return now - lastSignAt >= lease && !voter.isPromised(holder, now)
  }

  private logNewSuspects (silent: readonly Incarnation[]): void {
    for (const holder of this.loggedSuspects) {
      if (!silent.includes(holder)) this.loggedSuspects.delete(holder)
    }
    for (const holder of silent) {
      if (this.loggedSuspects.has(holder)) continue
      this.loggedSuspects.add(holder)
      this.options.log.write(EVENTS.holderSuspected, { holder, version: this.assignment.version })
    }
  }
}
