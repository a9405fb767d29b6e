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

/** Dependencies and callbacks of the coordinator. */
export interface CoordinatorOptions {
  clock: Clock
  random: Random
  log: Log
  timing: Timing
  row: AssignmentRow
  follower: Follower
  planner: Planner
  /** Returns the facts that the node knows now. */
  facts: () => Facts
  /** Whether the row should be polled although no change is planned. */
  shouldPoll: () => boolean
  /** Called when the table holds the version that this node knows, before the plan is made; may release resources or request votes. */
  beforePlan: () => void
  /** Called when a write may have taken effect without an answer or may still take effect, and after each conflict. */
  onUncertainWrite: () => void
  /** Called when a write failed and cannot take effect any more. */
  onFailedWrite: () => void
  /** Sends an assignment that this node wrote to the other holders. */
  broadcast: (assignment: Assignment, previous: Assignment) => void
}

/** Number of conflicts after which the random delay before the next attempt stops doubling. */
const MAX_STAGGER_DOUBLINGS = 4

/**
 * Reads and changes the assignment row. At most one round runs at a time, and the table is only called when a
 * change is planned or the row must be polled.
 */
export class Coordinator {
  private readonly options: CoordinatorOptions
  private readonly backoff: Backoff
  private isReconciling = false
  private isStopped = false
  private lastReadAt = -Infinity
  private conflictCount = 0
  private writeCount = 0
  /** Whether the last call to the table succeeded, and the monotonic time in ms of the last change of that. */
  private lastTableState: { isReachable: boolean, since: number } | null = null

  /** @param options - see the type */
  constructor (options: CoordinatorOptions) {
    this.options = options
    const { clock, random, timing } = options
    this.backoff = new Backoff({ clock, random, ...timing.backoff })
  }

  /** Whether the last call to the table succeeded and since when, in monotonic ms; null before the first call ended. */
  get tableState (): { isReachable: boolean, since: number } | null {
    return this.lastTableState
  }

  /** Starts no further round; a write that was already sent may still take effect. */
  stop (): void {
    this.isStopped = true
  }

  /** Reads the row once, also when no change is planned. */
  async refresh (): Promise<void> {
    await this.readRow()
  }

  /**
   * Runs one round if a change is planned or a poll is due. Must be called at each heartbeat and whenever new
   * facts may allow a change.
   */
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
   * Staggers the nodes that may write the same change, to avoid conflicts. A voter waits for a random part and for
   * its rank among the voters, which a hash of the version changes with each version; each conflict doubles the
   * random part, up to a limit. While voters are lost, the nodes that are heard take the place of the voters. Any
   * other node waits for the random part only.
   * Released resources are handed over without delay, since no node admits for them meanwhile.
   *
   * @returns ms to wait before the row is read
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

/** Describes a row whose version is older than the version that this node already knows. */
function describeRollback (found: number, known: number): string {
  return `version: the row has version ${found}, but version ${known} was written before; a row must never be restored from an older copy`
}
