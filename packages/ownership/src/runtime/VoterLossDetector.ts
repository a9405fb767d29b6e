import type { Assignment, Clock, Incarnation, Instance } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { LostVoters } from '../types/Facts.js'
import { instanceOf } from '../utils/instanceOf.js'
import { majoritySize, allVoters } from '../utils/quorum.js'

/** What is known when losses are judged. */
export interface LossEvidence {
  assignment: Assignment
  /** The platform's list; null when not known. */
  instances: readonly Instance[] | null
  /** Incarnations heard of within the last lease. */
  heard: ReadonlySet<Incarnation>
}

/** How long a loss must last before it counts, in ms. */
export interface LossDelays {
  /** When the lost voters were listed before, or a later process runs in their place. */
  listed: number
  /** When this process never saw them listed: they may be too new for a list that lags. */
  neverListed: number
}

/**
 * Judges whether a majority of the voters is gone for good: not listed by the platform any more, or followed
 * by a later process on the same instance. One whole lease must pass after that was seen, and longer where the
 * list may only not have them yet.
 */
export class VoterLossDetector {
  private readonly clock: Clock
  private readonly log: Log
  private readonly delays: LossDelays
  private readonly lostSince = new Map<string, number>()
  private readonly everListed = new Set<string>()

  /** @param options - the clock, the log, and how long a loss must last */
  constructor (options: { clock: Clock, log: Log, delays: LossDelays }) {
    this.clock = options.clock
    this.log = options.log
    this.delays = options.delays
  }

  /**
   * To be called again and again, so that the time since a loss was seen is known.
   *
   * @param evidence - what is known now
   * @returns which sets count as lost
   */
  detect (evidence: LossEvidence): LostVoters {
    const { voters, nextVoters } = evidence.assignment
    this.recordListed(evidence.instances ?? [])
    const lost = {
      voters: this.isLost(voters, evidence),
      nextVoters: nextVoters !== null && this.isLost(nextVoters, evidence)
    }
    this.prune(evidence)
    return lost
  }

  /** @param list - the platform's list as it is known now */
  recordListed (list: readonly Instance[]): void {
    for (const { id } of list) this.everListed.add(id)
  }

  /**
   * @param incarnation - one life of a node process
   * @returns whether its instance was ever seen listed
   */
  wasListed (incarnation: Incarnation): boolean {
    return this.everListed.has(instanceOf(incarnation))
  }

  private isLost (members: readonly Incarnation[], evidence: LossEvidence): boolean {
    const gone = members.filter(member => isGone(member, evidence))
    const listed = gone.filter(member => this.wasListed(member))
    const key = members.join(' ')
    const isLostForLong = this.hasLasted(`unseen ${key}`, members, gone, this.delays.neverListed)
    return this.hasLasted(`seen ${key}`, members, listed, this.delays.listed) || isLostForLong
  }

  private hasLasted (key: string, members: readonly Incarnation[], gone: readonly Incarnation[], delay: number): boolean {
    if (members.length === 0 || members.length - gone.length >= majoritySize(members.length)) {
      this.lostSince.delete(key)
      return false
    }
    const now = this.clock.now()
    if (!this.lostSince.has(key)) {
      this.lostSince.set(key, now)
      this.log.write(EVENTS.votersLost, { voters: members, gone, waits: delay })
    }
    return now - this.lostSince.get(key)! >= delay
  }

  private prune ({ assignment, instances }: LossEvidence): void {
    const { voters, nextVoters } = assignment
    const sets = [voters, nextVoters ?? []].map(members => members.join(' '))
    const keys = sets.flatMap(members => [`seen ${members}`, `unseen ${members}`])
    for (const key of this.lostSince.keys()) {
      if (!keys.includes(key)) this.lostSince.delete(key)
    }
    const holders = assignment.holders.map(holder => holder.incarnation)
    const named = [...holders, ...allVoters(assignment)].map(instanceOf)
    for (const id of this.everListed) {
      if (!named.includes(id) && instances?.some(instance => instance.id === id) === false) this.everListed.delete(id)
    }
  }
}

/**
 * @param voter - a voter
 * @param sightings - what is known
 * @returns whether its process has ended for good
 */
export function isGone (voter: Incarnation, { assignment, instances, heard }: LossEvidence): boolean {
  if (instances === null || heard.has(voter)) return false
  const id = instanceOf(voter)
  if (!instances.some(instance => instance.role === 'entry' && instance.id === id)) return true
  const processes = assignment.holders.map(holder => holder.incarnation).filter(other => instanceOf(other) === id)
  const latest = processes.at(-1)
  return latest !== undefined && latest !== voter
}
