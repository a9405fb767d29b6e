import { Chart } from '@rattanstep/core'
import type { ChartFile, Incarnation } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import chartFile from '../charts/membership.json' with { type: 'json' }
import { EVENTS } from '../types/events.js'

/**
 * How a node stands towards the assignment.
 * - `outside`: not named as a holder
 * - `lapsed`: named, without a lease
 * - `serving`: named, with a lease
 * - `draining`: stopping, still named
 * - `left`: stopping, no longer named
 * - `stopped`: ended
 */
export type MembershipState = 'outside' | 'lapsed' | 'serving' | 'draining' | 'left' | 'stopped'

/** What changes it. */
export type MembershipEvent = 'name' | 'remove' | 'lease' | 'lapse' | 'drain' | 'stop'

const MEMBERSHIP_CHART = new Chart<MembershipState, MembershipEvent>(chartFile as ChartFile)

/** What is known at an event. */
export interface MembershipFacts {
  version: number
  activeVoters: readonly Incarnation[]
}

/** Follows a node's standing through its chart and reports gained and lost leases. */
export class Membership {
  private current = MEMBERSHIP_CHART.initial
  private readonly log: Log

  /** @param log - where changes are written */
  constructor (log: Log) {
    this.log = log
  }

  /** How the node stands now. */
  get state (): MembershipState {
    return this.current
  }

  /**
   * @param event - what happened; without effect where the chart does not allow it
   * @param facts - what is known
   */
  apply (event: MembershipEvent, { version, activeVoters }: MembershipFacts): void {
    const next = MEMBERSHIP_CHART.next(this.current, event)
    if (next === null) return
    const from = this.current
    this.current = next
    this.log.write(EVENTS.membershipChanged, { from, to: next, version })
    if (event === 'lease') this.log.write(EVENTS.leaseGained, { version, countsBy: activeVoters })
    if (event === 'lapse') this.log.write(EVENTS.leaseLost, { version, countsBy: activeVoters })
  }
}
