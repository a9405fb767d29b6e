import { hash32 } from '@rattanstep/core'
import type { Assignment, Clock, Random } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Facts } from '../types/Facts.js'
import type { Plan } from '../types/Plan.js'
import type { Timing } from '../types/Timing.js'
import { allVoters } from '../utils/quorum.js'
import type { AssignmentRow, RowError } from './AssignmentRow.js'
import { Backoff } from './Backoff.js'
import type { Follower } from './Follower.js'
import type { Planner } from './Planner.js'

/** What the coordinator needs of the node. */
export interface CoordinatorOptions {
  clock: Clock
  random: Random
  log: Log
  timing: Timing
  row: AssignmentRow
  follower: Follower
  planner: Planner
  /** What the node knows now. */
  facts: () => Facts
  /** Whether the row should be looked at although nothing is planned. */
  shouldPoll: () => boolean
  /** Called once the table answered with the version followed; may stop admitting or ask for votes. */
  beforePlan: () => void
  /** Called when a write may have landed unseen, or may land late. */
  onUncertainWrite: () => void
  /** Called when nothing was written. */
  onFailedWrite: () => void
  /** Tells others about an assignment that this node wrote. */
  broadcast: (assignment: Assignment, previous: Assignment) => void
}

/** How often conflicts double the spread of the next try. */
const MAX_STAGGER_DOUBLINGS = 4

/** Reads and changes the assignment row, one thing at a time, and only when something is to be changed. */
export class Coordinator {
  private readonly options: CoordinatorOptions
  private readonly backoff: Backoff
  private isReconciling = false
  private isStopped = false
  private lastReadAt = -Infinity
  private conflictCount = 0
  private writeCount = 0
  /** Since when the table answers, or since when it does not. */
  private lastTableState: { isReachable: boolean, since: number } | null = null

  /** @param options - see the type */
  constructor (options: CoordinatorOptions) {
    this.options = options
    const { clock, random, timing } = options
    this.backoff = new Backoff({ clock, random, ...timing.backoff })
  }

  /** Whether the table answered last time and since when, in monotonic ms; null before the first answer. */
  get tableState (): { isReachable: boolean, since: number } | null {
    return this.lastTableState
  }

  /** Ends the work; a write on its way may still land. */
  stop (): void {
    this.isStopped = true
  }

  /** Reads the row once, whatever is planned. */
  async refresh (): Promise<void> {
    await this.readRow()
  }

  /** Does what is due. To be called at each heartbeat and whenever something was learned. */
  async reconcile (): Promise<void> {
    if (this.isReconciling || this.isStopped || this.backoff.isWaiting) return
    if (!this.isDue()) return
    this.isReconciling = true
    try {
      await this.runRound()
    } finally {
      this.isReconciling = false
    }
  }

  private isDue (): boolean {
    if (this.plan() !== null) return true
    const { clock, timing, shouldPoll } = this.options
    return shouldPoll() && clock.now() - this.lastReadAt >= timing.pollInterval
  }

  private async runRound (): Promise<void> {
    const { clock, follower, beforePlan } = this.options
    await clock.sleep(this.turnDelay())
    if (this.isStopped || !this.isDue()) return
    const version = follower.assignment.version
    if (!await this.readRow()) return
    if (this.isStopped || follower.assignment.version !== version) return
    beforePlan()
    const plan = this.plan()
    if (plan !== null) await this.writePlan(plan)
  }

  private plan (): Plan | null {
    const { planner, follower, facts } = this.options
    return planner.plan(follower.assignment, facts())
  }

  /**
   * Nodes that may write the same change take turns; a conflict spreads them further. What was released is
   * admitted for by nobody, so that it is handed over without delay.
   */
  private turnDelay (): number {
    const { random, timing, follower, facts } = this.options
    const { self, lost, released, heard } = facts()
    const { assignment } = follower
    if (released.length > 0 && this.conflictCount === 0) return 0
    const spread = random.next() * timing.stagger * 2 ** Math.min(this.conflictCount, MAX_STAGGER_DOUBLINGS)
    const voters = lost.voters || lost.nextVoters ? [...heard] : allVoters(assignment)
    if (!voters.includes(self.incarnation)) return spread
    const weight = (voter: string): number => hash32(`${voter} ${assignment.version}`)
    const rank = voters.filter(voter => weight(voter) < weight(self.incarnation)).length
    return spread + rank * timing.stagger
  }

  private async readRow (): Promise<boolean> {
    const { row, clock, follower } = this.options
    const { version } = follower.assignment
    const found = await row.read()
    this.lastReadAt = clock.now()
    if (found.isErr()) {
      this.handleFailure(found.error)
      return false
    }
    if (found.value.version < version) {
      this.handleFailure({ fault: 'unreadable', message: describeRollback(found.value.version, version) })
      return false
    }
    this.handleSuccess()
    follower.adopt(found.value, 'table')
    return true
  }

  private async writePlan (plan: Plan): Promise<void> {
    const { row, random, follower, log, broadcast, facts } = this.options
    const previous = follower.assignment
    const operation = `${facts().self.incarnation} ${plan.next.version} ${this.writeCount++} ${random.next()}`
    const result = await row.write(plan.next, operation)
    const fields = { version: plan.next.version, changes: plan.changes }
    if (result.isErr()) {
      this.handleWriteError(result.error, fields)
      return
    }
    this.conflictCount = 0
    log.write(EVENTS.assignmentWritten, fields)
    follower.adopt(plan.next, 'own write')
    broadcast(plan.next, previous)
  }

  private handleWriteError (error: RowError, fields: { version: number, changes: string[] }): void {
    const { log, onFailedWrite, onUncertainWrite } = this.options
    if (error.fault === 'unavailable') {
      onFailedWrite()
      this.handleFailure(error)
      return
    }
    onUncertainWrite()
    if (error.fault === 'conflict') {
      this.conflictCount++
      log.write(EVENTS.assignmentConflict, fields)
      return
    }
    log.write(EVENTS.assignmentUncertain, fields)
    this.handleFailure(error)
  }

  private handleFailure (error: RowError): void {
    const { clock, log } = this.options
    const retryIn = Math.round(this.backoff.recordFailure())
    const event = error.fault === 'unreadable' ? EVENTS.assignmentUnreadable : EVENTS.tableUnreachable
    if (this.lastTableState?.isReachable !== false) {
      this.lastTableState = { isReachable: false, since: clock.now() }
      log.write(event, { fault: error.fault, detail: error.message, findings: error.message, retryIn })
    }
  }

  private handleSuccess (): void {
    const { clock, log } = this.options
    this.backoff.recordSuccess()
    if (this.lastTableState?.isReachable === true) return
    if (this.lastTableState !== null) log.write(EVENTS.tableReachable, { after: Math.round(clock.now() - this.lastTableState.since) })
    this.lastTableState = { isReachable: true, since: clock.now() }
  }
}

function describeRollback (found: number, known: number): string {
  return `version: the row has version ${found}, but version ${known} was written; a row must never be put back`
}
