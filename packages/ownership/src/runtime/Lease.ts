import type { Assignment, Incarnation } from '@rattanstep/core'
import { majoritySize, sameMembers } from '../utils/quorum.js'

/** What a holder remembers of its lease. */
export interface LeaseState {
  voters: Incarnation[]
  nextVoters: Incarnation[] | null
  /** Whether the holder counts by the next voters. */
  usesNextVoters: boolean
  /** When the promise of each voter ends, on the holder's clock in ms. */
  promises: Record<Incarnation, number>
}

/**
 * The holder's part of the protocol, without messages or timers: which voters it counts by, and until when
 * a majority of them has promised.
 */
export class Lease {
  readonly state: LeaseState
  protected readonly duration: number

  /**
   * @param options - `lease`: length of a promise on the voter's clock in ms; `margin`: part of it given up
   * for clock rates; `memory`: what is remembered, empty by default
   */
  constructor (options: { lease: number, margin: number, state?: LeaseState }) {
    this.duration = options.lease * (1 - options.margin)
    this.state = options.state ?? { voters: [], nextVoters: null, usesNextVoters: false, promises: {} }
  }

  /**
   * Follows an assignment. While the same exchange of voters goes on, a holder that counts by the next
   * voters never goes back.
   *
   * @param assignment - a newer assignment than the one followed
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
   * Takes a promise.
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

  /** The voters that the holder counts by, sorted. */
  get activeVoters (): Incarnation[] {
    const { voters, nextVoters, usesNextVoters } = this.state
    return [...usesNextVoters && nextVoters !== null ? nextVoters : voters].sort()
  }

  /**
   * @returns when the lease ends, on the holder's clock in ms; `-Infinity` without a majority
   */
  expiry (): number {
    return this.expiryOf(this.activeVoters)
  }

  /** The instant from which a promise counts. */
  protected promiseStart (sentAt: number, now: number): number {
    return Math.min(sentAt, now)
  }

  /** Counts by the next voters as soon as that makes the lease no shorter. */
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
