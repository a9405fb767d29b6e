import type { Incarnation } from '@rattanstep/core'

/** What a voter remembers for as long as its process lives. */
export interface VoterState {
  /** Newest version of the assignment that the voter knows. */
  version: number
  /** When the promises to each holder lapse, on the voter's clock in ms. */
  promises: Record<Incarnation, number>
  /** Newest version at which the voter backed the removal of each holder. */
  votes: Record<Incarnation, number>
}

/**
 * The voter's part of the protocol, without messages or timers. A promise says that the voter will not
 * back the removal of the holder before the promise lapses. A vote never lapses: after it, the holder is
 * promised nothing at the version of the vote or an older one.
 */
export class Voter {
  readonly state: VoterState
  protected readonly leaseDuration: number

  /**
   * @param options - `lease`: how long a promise lasts in ms; `memory`: what is remembered, empty by default
   */
  constructor (options: { lease: number, state?: VoterState }) {
    this.leaseDuration = options.lease
    this.state = options.state ?? { version: 0, promises: {}, votes: {} }
  }

  /**
   * Takes note of a version; older ones than the newest are refused from then on.
   *
   * @param version - a version of the assignment that exists
   */
  adoptVersion (version: number): void {
    this.state.version = Math.max(this.state.version, version)
  }

  /**
   * Answers a heartbeat.
   *
   * @param holder - who asks
   * @param version - version that the holder follows
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
   * Answers a request for a vote. A vote that was given is given again.
   *
   * @param holder - whose removal is to be backed
   * @param version - version of the assignment that the removal replaces
   * @param now - the voter's monotonic time in ms
   * @returns whether the voter backs the removal at this version
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
   * @returns whether the voter backed the holder's removal at exactly this version
   */
  hasVoted (holder: Incarnation, version: number): boolean {
    return this.state.votes[holder] === version
  }

  /**
   * Forgets what can no longer matter, so that memory stays bounded.
   *
   * @param keep - holders still named
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
