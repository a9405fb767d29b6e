import type { Assignment, Clock, Incarnation, Instance } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { LostVoters } from '../types/Facts.js'
import { instanceOf } from '../utils/instanceOf.js'
import { majority } from '../utils/quorum.js'

/** What is known when losses are judged. */
export interface Sightings {
  assignment: Assignment
  /** The platform's list; null when not known. */
  instances: readonly Instance[] | null
  /** Incarnations heard of within the last lease. */
  heard: ReadonlySet<Incarnation>
}

/**
 * Judges whether a majority of the voters is gone for good: not listed by the platform any more, or followed
 * by a later process on the same instance. One whole lease must pass after that was seen.
 */
export class Losses {
  private readonly clock: Clock
  private readonly log: Log
  private readonly wait: number
  private readonly since = new Map<string, number>()

  /** @param options - the clock, the log, and how long a loss must last in ms before it counts */
  constructor (options: { clock: Clock, log: Log, wait: number }) {
    this.clock = options.clock
    this.log = options.log
    this.wait = options.wait
  }

  /**
   * To be called again and again, so that the time since a loss was seen is known.
   *
   * @param sightings - what is known now
   * @returns which sets count as lost
   */
  judge (sightings: Sightings): LostVoters {
    const { voters, nextVoters } = sightings.assignment
    const lost = {
      voters: this.isLost(voters, sightings),
      nextVoters: nextVoters !== null && this.isLost(nextVoters, sightings)
    }
    this.forget(sightings.assignment)
    return lost
  }

  private isLost (members: readonly Incarnation[], sightings: Sightings): boolean {
    const key = members.join(' ')
    const gone = members.filter(member => isGone(member, sightings))
    if (members.length === 0 || members.length - gone.length >= majority(members.length)) {
      this.since.delete(key)
      return false
    }
    const now = this.clock.now()
    if (!this.since.has(key)) {
      this.since.set(key, now)
      this.log.write(EVENTS.votersLost, { voters: members, gone, waits: this.wait })
    }
    return now - this.since.get(key)! >= this.wait
  }

  private forget ({ voters, nextVoters }: Assignment): void {
    const named = [voters.join(' '), (nextVoters ?? []).join(' ')]
    for (const key of this.since.keys()) {
      if (!named.includes(key)) this.since.delete(key)
    }
  }
}

/**
 * @param voter - a voter
 * @param sightings - what is known
 * @returns whether its process has ended for good
 */
export function isGone (voter: Incarnation, { assignment, instances, heard }: Sightings): boolean {
  if (instances === null || heard.has(voter)) return false
  const id = instanceOf(voter)
  if (!instances.some(instance => instance.role === 'entry' && instance.id === id)) return true
  const lives = assignment.holders.map(holder => holder.incarnation).filter(other => instanceOf(other) === id)
  const latest = lives.at(-1)
  return latest !== undefined && latest !== voter
}
