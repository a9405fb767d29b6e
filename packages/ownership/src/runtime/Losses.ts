import type { Assignment, Clock, Incarnation, Instance } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { LostVoters } from '../types/Facts.js'
import { instanceOf } from '../utils/instanceOf.js'
import { majority, namedVoters } from '../utils/quorum.js'

/** What is known when losses are judged. */
export interface Sightings {
  assignment: Assignment
  /** The platform's list; null when not known. */
  instances: readonly Instance[] | null
  /** Incarnations heard of within the last lease. */
  heard: ReadonlySet<Incarnation>
}

/** How long a loss must last before it counts, in ms. */
export interface LossWaits {
  /** When the lost voters were listed before, or a later process runs in their place. */
  seen: number
  /** When this process never saw them listed: they may be too new for a list that lags. */
  unseen: number
}

/**
 * Judges whether a majority of the voters is gone for good: not listed by the platform any more, or followed
 * by a later process on the same instance. One whole lease must pass after that was seen, and longer where the
 * list may only not have them yet.
 */
export class Losses {
  private readonly clock: Clock
  private readonly log: Log
  private readonly waits: LossWaits
  private readonly since = new Map<string, number>()
  private readonly listed = new Set<string>()

  /** @param options - the clock, the log, and how long a loss must last */
  constructor (options: { clock: Clock, log: Log, waits: LossWaits }) {
    this.clock = options.clock
    this.log = options.log
    this.waits = options.waits
  }

  /**
   * To be called again and again, so that the time since a loss was seen is known.
   *
   * @param sightings - what is known now
   * @returns which sets count as lost
   */
  judge (sightings: Sightings): LostVoters {
    const { voters, nextVoters } = sightings.assignment
    this.see(sightings.instances ?? [])
    const lost = {
      voters: this.isLost(voters, sightings),
      nextVoters: nextVoters !== null && this.isLost(nextVoters, sightings)
    }
    this.forget(sightings)
    return lost
  }

  /** @param list - the platform's list as it is known now */
  see (list: readonly Instance[]): void {
    for (const { id } of list) this.listed.add(id)
  }

  /**
   * @param incarnation - one life of a node process
   * @returns whether its instance was ever seen listed
   */
  wasListed (incarnation: Incarnation): boolean {
    return this.listed.has(instanceOf(incarnation))
  }

  private isLost (members: readonly Incarnation[], sightings: Sightings): boolean {
    const gone = members.filter(member => isGone(member, sightings))
    const seen = gone.filter(member => this.wasListed(member))
    const key = members.join(' ')
    const isLongLost = this.lasts(`unseen ${key}`, members, gone, this.waits.unseen)
    return this.lasts(`seen ${key}`, members, seen, this.waits.seen) || isLongLost
  }

  private lasts (key: string, members: readonly Incarnation[], gone: readonly Incarnation[], wait: number): boolean {
    if (members.length === 0 || members.length - gone.length >= majority(members.length)) {
      this.since.delete(key)
      return false
    }
    const now = this.clock.now()
    if (!this.since.has(key)) {
      this.since.set(key, now)
      this.log.write(EVENTS.votersLost, { voters: members, gone, waits: wait })
    }
    return now - this.since.get(key)! >= wait
  }

  private forget ({ assignment, instances }: Sightings): void {
    const { voters, nextVoters } = assignment
    const sets = [voters, nextVoters ?? []].map(members => members.join(' '))
    const keys = sets.flatMap(members => [`seen ${members}`, `unseen ${members}`])
    for (const key of this.since.keys()) {
      if (!keys.includes(key)) this.since.delete(key)
    }
    const holders = assignment.holders.map(holder => holder.incarnation)
    const named = [...holders, ...namedVoters(assignment)].map(instanceOf)
    for (const id of this.listed) {
      if (!named.includes(id) && instances?.some(instance => instance.id === id) === false) this.listed.delete(id)
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
