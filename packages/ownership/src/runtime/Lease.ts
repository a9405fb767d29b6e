import type { Assignment, Incarnation } from '@rattanstep/core'
import { majoritySize, sameMembers } from '../utils/quorum.js'

/** State of a holder's lease. */
export interface LeaseState {
  voters: Incarnation[]
  nextVoters: Incarnation[] | null
  /** Whether the lease relies on a majority of the next voters instead of the current ones. */
  usesNextVoters: boolean
  /** For each voter, when its promise ends, on the holder's clock in ms. */
  promises: Record<Incarnation, number>
}

/**
 * The holder's part of the lease protocol, without messages or timers: which voter set the lease relies on
 * (the active voters), and until when a majority of them has promised not to vote for the holder's removal.
 */
export class Lease {
  readonly state: LeaseState
  protected readonly duration: number

  /**
   * @param options - `lease`: duration of a promise on the voter's clock in ms; `margin`: fraction of it that the
   * holder gives up because clocks may run at different rates; `state`: initial state, empty by default
   */
  constructor (options: { lease: number, margin: number, state?: LeaseState }) {
    this.duration = options.lease * (1 - options.margin)
    this.state = options.state ?? { voters: [], nextVoters: null, usesNextVoters: false, promises: {} }
  }

  /**
   * Adopts an assignment. A holder that has switched to the next voters never switches back while the
   * assignment names the same next voters.
   *
   * @param assignment - a newer assignment than the current one
   */
  adopt (assignment: Assignment): void {
    const { voters, nextVoters } = assignment
    const before = this.activeVoters
    this.state.voters = voters
    this.state.nextVoters = nextVoters
    this.state.usesNextVoters = nextVoters !== null && sameMembers(before, nextVoters)
    this.prunePromises()
  }

  /**
   * Adds a promise.
   *
   * @param voter - who promised
   * @param sentAt - when the heartbeat that was answered was sent, on the holder's clock in ms
   * @param now - the holder's monotonic time in ms
   */
  addPromise (voter: Incarnation, sentAt: number, now: number): void {
    const end = this.promiseStart(sentAt, now) + this.duration
    this.state.promises[voter] = Math.max(this.state.promises[voter] ?? -Infinity, end)
    this.switchToNextVoters(now)
  }

  /** The voter set that the lease relies on, sorted. */
  get activeVoters (): Incarnation[] {
    const { voters, nextVoters, usesNextVoters } = this.state
    return [...usesNextVoters && nextVoters !== null ? nextVoters : voters].sort()
  }

  /**
   * @returns when the lease ends, on the holder's clock in ms; `-Infinity` without promises of a majority
   */
  expiry (): number {
    return this.expiryOf(this.activeVoters)
  }

  /** The time from which the duration of a promise is counted, on the holder's clock in ms: never later than its heartbeat was sent. */
  protected promiseStart (sentAt: number, now: number): number {
    return Math.min(sentAt, now)
  }

  /** Switches to the next voters as soon as that does not shorten the lease. */
  private switchToNextVoters (now: number): void {
    const { nextVoters, usesNextVoters } = this.state
    if (nextVoters === null || usesNextVoters) return
    const next = this.expiryOf(nextVoters)
    this.state.usesNextVoters = next > now && next >= this.expiry()
  }

  private expiryOf (members: readonly Incarnation[]): number {
    if (members.length === 0) return -Infinity
    const ends = members.map(member => this.state.promises[member] ?? -Infinity)
    ends.sort((a, b) => b - a)
    return ends[majoritySize(members.length) - 1]!
  }

  private prunePromises (): void {
    const { voters, nextVoters, promises } = this.state
    for (const voter of Object.keys(promises)) {
      if (!voters.includes(voter) && nextVoters?.includes(voter) !== true) delete promises[voter]
    }
  }
}
