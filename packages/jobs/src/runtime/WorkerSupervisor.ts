import type { Instance, TaskReport, WorkerReport } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { KeeperClaim } from './WorkerClaim.js'
import type { Placement } from './Placement.js'
import { PlacementBook } from './PlacementRegistry.js'
import { conclude, sortPlacements } from './sortPlacements.js'
import { TaskCommands } from './TaskCommands.js'
import type { PlacementRow } from '../types/rows.js'
import type { TableWriter } from './TableWriter.js'
import type { Step, StepOutcome, Transitions } from './TransitionWriter.js'

/** What the keeper of a worker tells the rest of the job subsystem. */
export interface KeeperEvents {
  /** Tasks of these jobs have changed. */
  changed: (jobs: string[]) => void
  /** Tasks were started on the worker. */
  started: (worker: string) => void
  /** A run on the worker ended. */
  ran: (worker: string, ok: boolean) => void
}

/** Keeps the tasks of one worker: starts them, renews their leases, and writes how they end. */
export class WorkerKeeper {
  /** The worker; `null` when it is gone and only its tasks are left to be given up. */
  instance: Instance | null
  readonly worker: string
  readonly claim: KeeperClaim
  private readonly context: Context
  private readonly transitions: Transitions
  private readonly events: KeeperEvents
  private readonly mayAct: () => boolean
  private readonly book: PlacementBook
  /** Holds whose placement may have been written; they end with the next version of the claim. */
  private readonly doubtful = new Set<string>()
  private strangers = new Set<string>()
  private looking = false
  private again = false
  private dropped = false
  /** Whether the last report failed, or none has come yet. */
  private silent = true
  /** Whether the present silence was logged. */
  private told = false

  /** @param options - `mayAct`: whether this node may act for the worker now */
  constructor (options: { context: Context, writer: TableWriter, transitions: Transitions, events: KeeperEvents, worker: string, instance: Instance | null, mayAct: () => boolean }) {
    this.context = options.context
    this.transitions = options.transitions
    this.events = options.events
    this.worker = options.worker
    this.instance = options.instance
    this.mayAct = () => !this.dropped && options.mayAct()
    this.claim = new KeeperClaim(options)
    this.book = new PlacementBook(options)
  }

  /** Whether new tasks may be placed here. */
  get isOpen (): boolean {
    return !this.silent && this.claim.state === 'keeping' && this.instance?.state === 'live' && this.mayAct()
  }

  /** Whether nothing runs here, nothing is in doubt, and the worker is well. */
  get isIdle (): boolean {
    return this.isOpen && this.size === 0 && this.doubtful.size === 0
  }

  /** Number of tasks that the table places here. */
  get size (): number {
    return this.book.all().length
  }

  /** @returns placements that are to go on running */
  rows (): PlacementRow[] {
    return this.book.all().filter(placement => placement.intent === 'run' && placement.ending === null).map(placement => placement.row)
  }

  /** Ends the keeping; nothing is sent any longer. */
  drop (): void {
    this.dropped = true
    for (const placement of this.book.all()) this.context.room.release(placement.row.hold)
    for (const hold of this.doubtful) this.context.room.release(hold)
  }

  /** @param hold - room whose placement may yet be written */
  doubt (hold: string): void {
    this.doubtful.add(hold)
    this.claim.renew()
  }

  /**
   * Tells tasks to leave the worker; each writes a checkpoint, stops and is placed again.
   *
   * @param choose - which tasks are to go
   * @returns number of tasks told to go
   */
  async vacate (choose: (task: PlacementRow) => boolean): Promise<number> {
    if (this.claim.state === 'claiming') return 0
    const leaving = this.book.all().filter(placement => placement.intent === 'run' && placement.ending === null && choose(placement.row))
    const { version } = this.claim
    const outcomes = await this.transitions.apply(leaving.map(placement => ({ ...this.describe(placement, version), event: 'vacate' })))
    const count = outcomes.filter(outcome => outcome === 'committed').length
    if (count > 0) this.again = true
    return count
  }

  /** Looks at the worker and at the table once. A call during a look leads to another look after it. */
  async look (): Promise<void> {
    if (this.looking) {
      this.again = true
      return
    }
    this.looking = true
    try {
      do {
        this.again = false
        await this.lookOnce()
      } while (this.again && this.mayAct())
    } finally {
      this.looking = false
    }
  }

  private async lookOnce (): Promise<void> {
    if (!this.mayAct()) return
    const report = this.instance === null ? null : await this.context.workers.report(this.instance)
    const receivedAt = this.context.clock.now()
    const isCurrent = await this.recount()
    if (this.dropped) return
    if (report === null || report.isErr()) {
      this.noteSilence(report === null ? 'the worker is gone' : report.error.message)
      await this.end(this.findOverdue())
      return
    }
    this.silent = false
    this.told = false
    await this.act(report.value, receivedAt, isCurrent)
    if (this.instance?.state === 'leaving' && isCurrent) await this.vacate(() => true)
  }

  /** Reads the placements under a claim that stands; returns whether the book is now as the table is. */
  private async recount (): Promise<boolean> {
    const isFirst = this.claim.since === null
    if (!await this.claim.ensure(this.mayAct)) return false
    const isCounted = this.claim.state === 'counting'
    const doubts = [...this.doubtful]
    if (!await this.book.refresh()) return false
    if (!await this.claim.confirm() || this.dropped) return false
    if (!isCounted) return true
    for (const hold of doubts) this.settleDoubt(hold)
    this.claim.step('counted')
    this.context.room.settled(this.worker)
    if (isFirst) this.context.log.write(EVENTS.claimed, { worker: this.worker, tasks: this.size })
    return true
  }

  private settleDoubt (hold: string): void {
    this.doubtful.delete(hold)
    if (this.book.all().some(placement => placement.row.hold === hold)) return
    this.context.room.release(hold)
  }

  private async act (report: WorkerReport, receivedAt: number, isCurrent: boolean): Promise<void> {
    if (this.claim.since === null || this.instance === null) return
    const commands = new TaskCommands({ context: this.context, worker: this.instance, report, receivedAt, mayAct: this.mayAct })
    const { ended, renewals, starts, stops } = sortPlacements(this.book.all(), report, receivedAt, this.context)
    await commands.renew(renewals)
    if (isCurrent && starts.length > 0) {
      await Promise.all(starts.map(async placement => { await commands.start(placement) }))
      this.events.started(this.worker)
    }
    if (await commands.stop(stops)) ended.push(...stops.map(placement => conclude(placement, this.context)))
    await this.end(ended)
    if (isCurrent) await this.stopStrangers(commands, report.tasks)
  }

  /** Finds tasks of a silent worker whose leases have certainly run out. */
  private findOverdue (): Placement[] {
    const { since } = this.claim
    if (since === null) return []
    const { lease, commandWindow, drift } = this.context.tuning
    const wait = (lease + commandWindow) * (1 + drift)
    const now = this.context.clock.now()
    const overdue = this.book.all().filter(placement => placement.ending !== null || now > Math.max(since, placement.sentAt ?? since) + wait)
    for (const placement of overdue) {
      if (placement.ending !== null) continue
      placement.ending = 'lose'
      this.context.log.write(EVENTS.lost, { job: placement.row.job, index: placement.row.index, worker: this.worker, reason: 'its lease has run out and the worker is silent' })
    }
    return overdue
  }

  private async end (placements: Placement[]): Promise<void> {
    if (placements.length === 0 || this.claim.state === 'claiming') return
    const { version } = this.claim
    const outcomes = await this.transitions.apply(placements.map(placement => this.describe(placement, version)))
    placements.forEach((placement, number) => { this.settle(placement, outcomes[number]!) })
    const changed = placements.filter((_, number) => outcomes[number] === 'committed')
    if (changed.length > 0) this.events.changed(changed.map(placement => placement.row.job))
  }

  private describe (placement: Placement, version: number): Step {
    const { job, index, fence } = placement.row
    const patch = { checkpoint: placement.checkpoint }
    return { job, index, fence, event: placement.ending ?? 'lose', patch, keeper: { worker: this.worker, version } }
  }

  private settle (placement: Placement, outcome: StepOutcome): void {
    const { job, index } = placement.row
    if (outcome === 'conflict') this.claim.step('disputed')
    if (outcome !== 'committed') return
    const event = placement.ending
    this.context.log.write(EVENTS.ended, { job, index, worker: this.worker, event })
    if (event === 'finish' || event === 'retry') this.events.ran(this.worker, event === 'finish')
    if (!this.dropped) this.book.remove(placement)
  }

  /** Stops tasks that the table does not place here, once seen in two reports with the table read in between. */
  private async stopStrangers (commands: TaskCommands, tasks: TaskReport[]): Promise<void> {
    const strangers = tasks.filter(task => !this.book.has(task.task, task.fence))
    const seenTwice = strangers.filter(task => this.strangers.has(`${task.task}@${task.fence}`))
    this.strangers = new Set(strangers.map(task => `${task.task}@${task.fence}`))
    await commands.stopNames(seenTwice.map(({ task, fence }) => ({ task, fence })))
  }

  private noteSilence (reason: string): void {
    this.silent = true
    if (this.told) return
    this.told = true
    this.context.log.write(EVENTS.silent, { worker: this.worker, reason })
  }
}
