import type { Assignment, Incarnation } from '@rattanstep/core'
import { majority, sameMembers } from '../utils/quorum.js'

/** What a holder remembers of its lease. */
export interface LeaseMemory {
  voters: Incarnation[]
  nextVoters: Incarnation[] | null
  /** Whether the holder counts by the next voters. */
  countsByNext: boolean
  /** When the promise of each voter ends, on the holder's clock in ms. */
  promises: Record<Incarnation, number>
}

/**
 * The holder's part of the protocol, without messages or timers: which voters it counts by, and until when
 * a majority of them has promised.
 */
export class Lease {
  readonly memory: LeaseMemory
  protected readonly length: number

  /**
   * @param options - `lease`: length of a promise on the voter's clock in ms; `margin`: part of it given up
   * for clock rates; `memory`: what is remembered, empty by default
   */
  constructor (options: { lease: number, margin: number, memory?: LeaseMemory }) {
    this.length = options.lease * (1 - options.margin)
    this.memory = options.memory ?? { voters: [], nextVoters: null, countsByNext: false, promises: {} }
  }

  /**
   * Follows an assignment. While the same exchange of voters goes on, a holder that counts by the next
   * voters never goes back.
   *
   * @param assignment - a newer assignment than the one followed
   */
  adopt (assignment: Assignment): void {
    const { voters, nextVoters } = assignment
    const before = this.countsBy
    this.memory.voters = voters
    this.memory.nextVoters = nextVoters
    this.memory.countsByNext = nextVoters !== null && sameMembers(before, nextVoters)
    this.forget()
  }

  /**
   * Takes a promise.
   *
   * @param voter - who promised
   * @param sentAt - when the heartbeat that was answered was sent, on the holder's clock in ms
   * @param now - the holder's monotonic time in ms
   */
  grant (voter: Incarnation, sentAt: number, now: number): void {
    const end = this.countedFrom(sentAt, now) + this.length
    this.memory.promises[voter] = Math.max(this.memory.promises[voter] ?? -Infinity, end)
    this.change(now)
  }

  /** The voters that the holder counts by, sorted. */
  get countsBy (): Incarnation[] {
    const { voters, nextVoters, countsByNext } = this.memory
    return [...countsByNext && nextVoters !== null ? nextVoters : voters].sort()
  }

  /**
   * @returns when the lease ends, on the holder's clock in ms; `-Infinity` without a majority
   */
  expiry (): number {
    return this.expiryOf(this.countsBy)
  }

  /** The instant from which a promise counts. */
  protected countedFrom (sentAt: number, now: number): number {
    return Math.min(sentAt, now)
  }

  /** Counts by the next voters as soon as that makes the lease no shorter. */
  private change (now: number): void {
    const { nextVoters, countsByNext } = this.memory
    if (nextVoters === null || countsByNext) return
    const next = this.expiryOf(nextVoters)
    this.memory.countsByNext = next > now && next >= this.expiry()
  }

  private expiryOf (members: readonly Incarnation[]): number {
    if (members.length === 0) return -Infinity
    const ends = members.map(member => this.memory.promises[member] ?? -Infinity)
    ends.sort((a, b) => b - a)
    return ends[majority(members.length) - 1]!
  }

  private forget (): void {
    const { voters, nextVoters, promises } = this.memory
    for (const voter of Object.keys(promises)) {
      if (!voters.includes(voter) && nextVoters?.includes(voter) !== true) delete promises[voter]
    }
  }
}
