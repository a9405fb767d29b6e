import { hash32 } from '@rattanstep/core'
import type { Assignment, Clock, Random } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Facts } from '../types/Facts.js'
import type { Plan } from '../types/Plan.js'
import type { Timing } from '../types/Timing.js'
import { namedVoters } from '../utils/quorum.js'
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
  isUnsettled: () => boolean
  /** Called once the table answered with the version followed; may stop admitting or ask for votes. */
  prepare: () => void
  /** Called when a write may have landed unseen, or may land late. */
  doubt: () => void
  /** Called when nothing was written. */
  undo: () => void
  /** Tells others about an assignment that this node wrote. */
  push: (assignment: Assignment, previous: Assignment) => void
}

/** How often conflicts double the spread of the next try. */
const MOST_DOUBLINGS = 4

/** Reads and changes the assignment row, one thing at a time, and only when something is to be changed. */
export class Coordinator {
  private readonly options: CoordinatorOptions
  private readonly backoff: Backoff
  private working = false
  private stopped = false
  private lastRead = -Infinity
  private conflicts = 0
  private written = 0
  /** Since when the table answers, or since when it does not. */
  private reachable: { is: boolean, since: number } | null = null

  /** @param options - see the type */
  constructor (options: CoordinatorOptions) {
    this.options = options
    const { clock, random, timing } = options
    this.backoff = new Backoff({ clock, random, ...timing.backoff })
  }

  /** Whether the table answered last time and since when, in monotonic ms; null before the first answer. */
  get table (): { is: boolean, since: number } | null {
    return this.reachable
  }

  /** Ends the work; a write on its way may still land. */
  stop (): void {
    this.stopped = true
  }

  /** Reads the row once, whatever is planned. */
  async refresh (): Promise<void> {
    await this.read()
  }

  /** Does what is due. To be called at each heartbeat and whenever something was learned. */
  async work (): Promise<void> {
    if (this.working || this.stopped || this.backoff.isWaiting) return
    if (!this.isDue()) return
    this.working = true
    try {
      await this.round()
    } finally {
      this.working = false
    }
  }

  private isDue (): boolean {
    if (this.plan() !== null) return true
    const { clock, timing, isUnsettled } = this.options
    return isUnsettled() && clock.now() - this.lastRead >= timing.poll
  }

  private async round (): Promise<void> {
    const { clock, follower, prepare } = this.options
    await clock.sleep(this.delay())
    if (this.stopped || !this.isDue()) return
    const version = follower.assignment.version
    if (!await this.read()) return
    if (this.stopped || follower.assignment.version !== version) return
    prepare()
    const plan = this.plan()
    if (plan !== null) await this.write(plan)
  }

  private plan (): Plan | null {
    const { planner, follower, facts } = this.options
    return planner.plan(follower.assignment, facts())
  }

  /**
   * Nodes that may write the same change take turns; a conflict spreads them further. What was released is
   * admitted for by nobody, so that it is handed over without delay.
   */
  private delay (): number {
    const { random, timing, follower, facts } = this.options
    const { self, lost, released, heard } = facts()
    const { assignment } = follower
    if (released.length > 0 && this.conflicts === 0) return 0
    const spread = random.next() * timing.stagger * 2 ** Math.min(this.conflicts, MOST_DOUBLINGS)
    const voters = lost.voters || lost.nextVoters ? [...heard] : namedVoters(assignment)
    if (!voters.includes(self.incarnation)) return spread
    const weight = (voter: string): number => hash32(`${voter} ${assignment.version}`)
    const rank = voters.filter(voter => weight(voter) < weight(self.incarnation)).length
    return spread + rank * timing.stagger
  }

  private async read (): Promise<boolean> {
    const { row, clock, follower } = this.options
    const { version } = follower.assignment
    const found = await row.read()
    this.lastRead = clock.now()
    if (found.isErr()) {
      this.fail(found.error)
      return false
    }
    if (found.value.version < version) {
      this.fail({ fault: 'unreadable', message: goneBack(found.value.version, version) })
      return false
    }
    this.succeed()
    follower.adopt(found.value, 'table')
    return true
  }

  private async write (plan: Plan): Promise<void> {
    const { row, random, follower, log, push, facts } = this.options
    const previous = follower.assignment
    const operation = `${facts().self.incarnation} ${plan.next.version} ${this.written++} ${random.next()}`
    const result = await row.write(plan.next, operation)
    const fields = { version: plan.next.version, changes: plan.changes }
    if (result.isErr()) {
      this.failWrite(result.error, fields)
      return
    }
    this.conflicts = 0
    log.write(EVENTS.assignmentWritten, fields)
    follower.adopt(plan.next, 'own write')
    push(plan.next, previous)
  }

  private failWrite (error: RowError, fields: { version: number, changes: string[] }): void {
    const { log, undo, doubt } = this.options
    if (error.fault === 'unavailable') {
      undo()
      this.fail(error)
      return
    }
    doubt()
    if (error.fault === 'conflict') {
      this.conflicts++
      log.write(EVENTS.assignmentConflict, fields)
      return
    }
    log.write(EVENTS.assignmentUncertain, fields)
    this.fail(error)
  }

  private fail (error: RowError): void {
    const { clock, log } = this.options
    const retryIn = Math.round(this.backoff.fail())
    const event = error.fault === 'unreadable' ? EVENTS.assignmentUnreadable : EVENTS.tableUnreachable
    if (this.reachable?.is !== false) {
      this.reachable = { is: false, since: clock.now() }
      log.write(event, { fault: error.fault, detail: error.message, findings: error.message, retryIn })
    }
  }

  private succeed (): void {
    const { clock, log } = this.options
    this.backoff.succeed()
    if (this.reachable?.is === true) return
    if (this.reachable !== null) log.write(EVENTS.tableReachable, { after: Math.round(clock.now() - this.reachable.since) })
    this.reachable = { is: true, since: clock.now() }
  }
}

function goneBack (found: number, known: number): string {
  return `version: the row has version ${found}, but version ${known} was written; a row must never be put back`
}
