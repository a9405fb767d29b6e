import { EMPTY_ASSIGNMENT } from '@rattanstep/core'
import type { Assignment, Clock, Incarnation } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { allVoters, isMajority } from '../utils/quorum.js'
import type { Heartbeats } from './Heartbeats.js'
import type { Voter } from './Voter.js'

/** Dependencies of the failure detector. */
export interface FailureDetectorOptions {
  self: Incarnation
  clock: Clock
  log: Log
  /** Duration of a lease in ms. */
  lease: number
  heartbeats: Heartbeats
  voter: Voter
}

/**
 * Finds holders from which this voter received no heartbeat for a whole lease. After a pause of its own process
 * the voter suspects nobody. A voter that hears no majority of the voters does not vote on its own suspicion: the removal
 * could not succeed, and the vote would only deny promises to working holders.
 */
export class FailureDetector {
  private readonly options: FailureDetectorOptions
  private assignment: Assignment = EMPTY_ASSIGNMENT
  /** For each holder, since when this voter has expected its heartbeats, in monotonic ms. */
  private readonly watchedSince = new Map<Incarnation, number>()
  private readonly loggedSuspects = new Set<Incarnation>()
  private lastCheckAt: number

  /** @param options - see the type */
  constructor (options: FailureDetectorOptions) {
    this.options = options
    this.lastCheckAt = options.clock.now()
  }

  /**
   * Must be called at each heartbeat. Half a lease or more between two calls means that the process was paused;
   * the silence of all holders is then counted anew.
   */
  detectPause (): void {
    const { clock, lease } = this.options
    const now = clock.now()
    if (now - this.lastCheckAt >= lease / 2) {
      for (const holder of this.watchedSince.keys()) this.watchedSince.set(holder, now)
    }
    this.lastCheckAt = now
  }

  /** @param assignment - the newest known assignment */
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

  /** @returns holders that sent no heartbeat for a whole lease and whose promise by this voter has lapsed */
  suspects (): Incarnation[] {
    const now = this.options.clock.now()
    const silent = [...this.watchedSince.keys()].filter(holder => this.isSilent(holder, now))
    this.logNewSuspects(silent)
    return silent
  }

  /**
   * @param within - ms
   * @returns whether this voter voted at the current version for the removal of a holder whose heartbeat arrived
   * within that time
   */
  hasVotedAgainstLiveHolder (within: number): boolean {
    const { clock, heartbeats, voter } = this.options
    const { version } = this.assignment
    const now = clock.now()
    return [...this.watchedSince.keys()].some(holder =>
      voter.hasVoted(holder, version) && now - heartbeats.lastHeardAt(holder) < within)
  }

  /** @returns whether this voter hears a majority of each voter set, which a removal needs */
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
