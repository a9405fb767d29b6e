import { Chart } from '@rattanstep/core'
import type { ChartFile, Incarnation } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import chartFile from '../charts/membership.json' with { type: 'json' }
import { EVENTS } from '../types/events.js'

/**
 * State of this node as a member of the cell.
 * - `outside`: not a holder in the assignment
 * - `lapsed`: a holder without a lease
 * - `serving`: a holder with a lease
 * - `draining`: a holder that is stopping
 * - `left`: stopping, and no longer a holder
 * - `stopped`: ended
 */
export type MembershipState = 'outside' | 'lapsed' | 'serving' | 'draining' | 'left' | 'stopped'

/**
 * Events that change the state.
 * - `name`: an assignment names the node as a holder
 * - `remove`: an assignment does not name the node as a holder
 * - `lease`: the lease is in force
 * - `lapse`: the lease has run out
 * - `drain`: a planned stop has begun
 * - `stop`: the node ends
 */
export type MembershipEvent = 'name' | 'remove' | 'lease' | 'lapse' | 'drain' | 'stop'

const MEMBERSHIP_CHART = new Chart<MembershipState, MembershipEvent>(chartFile as ChartFile)

/** Details of an event for the log. */
export interface MembershipFacts {
  version: number
  activeVoters: readonly Incarnation[]
}

/** State machine of the node's membership; logs changes of state, and leases gained and lost. */
export class Membership {
  private current = MEMBERSHIP_CHART.initial
  private readonly log: Log

  /** @param log - log for changes of state */
  constructor (log: Log) {
    this.log = log
  }

  /** The current state. */
  get state (): MembershipState {
    return this.current
  }

  /**
   * @param event - the event; it has no effect in states without a transition for it
   * @param facts - details for the log
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
