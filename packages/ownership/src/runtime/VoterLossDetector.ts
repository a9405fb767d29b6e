import type { Assignment, Clock, Incarnation, Instance } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { LostVoters } from '../types/Facts.js'
import { instanceOf } from '../utils/instanceOf.js'
import { allVoters, majoritySize } from '../utils/quorum.js'

/** The facts from which the loss of voters is detected. */
export interface LossEvidence {
  assignment: Assignment
  /** The platform's list of instances; null when unknown. */
  instances: readonly Instance[] | null
  /** Incarnations whose heartbeat arrived within the last lease. */
  heard: ReadonlySet<Incarnation>
}

/** How long a majority must be missing before it counts as lost, in ms. */
export interface LossDelays {
  /** Delay for voters whose instance was listed before, or on whose instance a later process runs. */
  listed: number
  /** Delay when this process never saw some of them listed: the list lags, so that they may be too new for it. */
  neverListed: number
}

/**
 * Detects that a majority of the voters has ended for good: their instances are no longer listed by the platform,
 * or a later process runs on the same instance. The majority counts as lost one whole lease after this was first
 * seen, and later if the list may not contain them yet because it lags.
 */
export class VoterLossDetector {
  private readonly clock: Clock
  private readonly log: Log
  private readonly delays: LossDelays
  private readonly lostSince = new Map<string, number>()
  private readonly everListed = new Set<string>()

  /** @param options - the clock, the log, and how long a majority must be missing */
  constructor (options: { clock: Clock, log: Log, delays: LossDelays }) {
    this.clock = options.clock
    this.log = options.log
    this.delays = options.delays
  }

  /**
   * Must be called regularly, since a delay starts when a call first finds the majority missing.
   *
   * @param evidence - the facts known now
   * @returns which voter sets count as lost
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

  /** @param list - the platform's current list */
  recordListed (list: readonly Instance[]): void {
    for (const { id } of list) this.everListed.add(id)
  }

  /**
   * @param incarnation - a node process
   * @returns whether this process ever saw its instance listed
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
 * @param evidence - the facts known now
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
