import type { Incarnation } from '@rattanstep/core'

/** State of a voter. It is kept in memory only and ends with the process. */
export interface VoterState {
  /** Newest version of the assignment known to the voter. */
  version: number
  /** For each holder, when the promise to it lapses, on the voter's clock in ms. */
  promises: Record<Incarnation, number>
  /** For each holder, the newest version at which the voter voted for its removal. */
  votes: Record<Incarnation, number>
}

/**
 * The voter's part of the lease protocol, without messages or timers. A promise means that the voter does not
 * vote for the removal of the holder before the promise lapses. A vote never lapses: after it, the voter gives
 * the holder no promise at the version of the vote or an older one.
 */
export class Voter {
  readonly state: VoterState
  protected readonly leaseDuration: number

  /**
   * @param options - `lease`: duration of a promise in ms; `state`: initial state, empty by default
   */
  constructor (options: { lease: number, state?: VoterState }) {
    this.leaseDuration = options.lease
    this.state = options.state ?? { version: 0, promises: {}, votes: {} }
  }

  /**
   * Adopts a version. Requests at versions older than the newest adopted one are refused.
   *
   * @param version - a version of the assignment that was written
   */
  adoptVersion (version: number): void {
    this.state.version = Math.max(this.state.version, version)
  }

  /**
   * Answers a heartbeat that asks for a promise.
   *
   * @param holder - the holder that asks
   * @param version - newest version known to the holder
   * @param now - the voter's monotonic time in ms
   * @returns whether the promise was given
   */
  promise (holder: Incarnation, version: number, now: number): boolean {
    if (version < this.state.version) return false
    if (this.isBlockedByVote(holder, version)) return false
    this.state.promises[holder] = Math.max(this.state.promises[holder] ?? 0, now + this.leaseDuration)
    return true
  }

  /**
   * Answers a request for a vote. A repeated request for a vote already given is granted again.
   *
   * @param holder - the holder to be removed
   * @param version - version of the assignment that the removal replaces
   * @param now - the voter's monotonic time in ms
   * @returns whether the voter votes for the removal at this version
   */
  vote (holder: Incarnation, version: number, now: number): boolean {
    if (version < this.state.version) return false
    if (this.hasVoted(holder, version)) return true
    if (this.isPromised(holder, now)) return false
    this.state.votes[holder] = Math.max(this.state.votes[holder] ?? 0, version)
    return true
  }

  /**
   * @param holder - a holder
   * @param now - the voter's monotonic time in ms
   * @returns whether a promise to the holder is in force
   */
  isPromised (holder: Incarnation, now: number): boolean {
    return (this.state.promises[holder] ?? -Infinity) > now
  }

  /**
   * @param holder - a holder
   * @param version - a version of the assignment
   * @returns whether the newest vote against the holder is for exactly this version
   */
  hasVoted (holder: Incarnation, version: number): boolean {
    return this.state.votes[holder] === version
  }

  /**
   * Removes lapsed promises to former holders and votes for older versions, to bound the memory used.
   *
   * @param keep - holders in the current assignment
   * @param now - the voter's monotonic time in ms
   */
  prune (keep: ReadonlySet<Incarnation>, now: number): void {
    const { promises, votes, version } = this.state
    for (const holder of Object.keys(promises)) {
      if (!keep.has(holder) && !this.isPromised(holder, now)) delete promises[holder]
    }
    for (const holder of Object.keys(votes)) {
      if (votes[holder]! < version) delete votes[holder]
    }
  }

  /** Whether an earlier vote forbids a promise at this version. */
  protected isBlockedByVote (holder: Incarnation, version: number): boolean {
    return version <= (this.state.votes[holder] ?? -1)
  }
}
