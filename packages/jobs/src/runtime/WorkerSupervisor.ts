import type { Instance, TaskReport, WorkerReport } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { WorkerClaim } from './WorkerClaim.js'
import type { Placement } from './Placement.js'
import { PlacementRegistry } from './PlacementRegistry.js'
import { setEndEvent, sortPlacements } from './sortPlacements.js'
import { TaskCommands } from './TaskCommands.js'
import type { PlacementRow } from '../types/rows.js'
import type { TableWriter } from './TableWriter.js'
import type { TaskTransition, TransitionOutcome, TransitionWriter } from './TransitionWriter.js'

/** Callbacks of a supervisor into the rest of the job subsystem. */
export interface SupervisorCallbacks {
  /** Tasks of these jobs have changed. */
  onJobsChanged: (jobs: string[]) => void
  /** Tasks were started on the worker. */
  onTasksStarted: (worker: string) => void
  /** A run on the worker ended; `ok` tells whether it succeeded. */
  onRunEnded: (worker: string, ok: boolean) => void
}

/** Supervises the tasks of one worker: starts them, renews their leases and writes their ends to the table. */
export class WorkerSupervisor {
  /** The worker; `null` when the worker is gone and its tasks only remain to be declared lost. */
  instance: Instance | null
  readonly worker: string
  readonly claim: WorkerClaim
  private readonly context: Context
  private readonly transitions: TransitionWriter
  private readonly events: SupervisorCallbacks
  private readonly mayAct: () => boolean
  private readonly placements: PlacementRegistry
  /** Expired holds whose placement may yet be written. They are released once the claim has a new version. */
  private readonly deferredHolds = new Set<string>()
  /** Tasks in the last report that the table does not place on the worker, as `TASK@FENCE`. */
  private unknownRuns = new Set<string>()
  private isReconciling = false
  private needsReconcile = false
  private isStopped = false
  /** Whether the last request for a report failed, or none was made yet. */
  private isSilent = true
  /** Whether the present period of silence has been logged. */
  private isSilenceLogged = false

  /** @param options - `mayAct`: whether this node may act for the worker now */
  constructor (options: { context: Context, writer: TableWriter, transitions: TransitionWriter, events: SupervisorCallbacks, worker: string, instance: Instance | null, mayAct: () => boolean }) {
    this.context = options.context
    this.transitions = options.transitions
    this.events = options.events
    this.worker = options.worker
    this.instance = options.instance
    this.mayAct = () => !this.isStopped && options.mayAct()
    this.claim = new WorkerClaim(options)
    this.placements = new PlacementRegistry(options)
  }

  /** Whether new tasks may be placed on the worker. */
  get acceptsTasks (): boolean {
    return !this.isSilent && this.claim.state === 'keeping' && this.instance?.state === 'live' && this.mayAct()
  }

  /** Whether the worker accepts tasks, has none, and no release of a hold is deferred. */
  get isIdle (): boolean {
    return this.acceptsTasks && this.placementCount === 0 && this.deferredHolds.size === 0
  }

  /** Number of tasks that the table places on the worker. */
  get placementCount (): number {
    return this.placements.all().length
  }

  /** @returns placements whose tasks should keep running */
  runningPlacements (): PlacementRow[] {
    return this.placements.all().filter(placement => placement.intent === 'run' && placement.endEvent === null).map(placement => placement.row)
  }

  /** Stops the supervision. No further commands are sent, and all capacity recorded here is released. */
  stop (): void {
    this.isStopped = true
    for (const placement of this.placements.all()) this.context.capacity.release(placement.row.hold)
    for (const hold of this.deferredHolds) this.context.capacity.release(hold)
  }

  /**
   * Keeps the capacity of an expired hold in use until its placement can no longer be written, which a new version of the
   * claim ensures.
   *
   * @param hold - identifier of the hold
   */
  deferRelease (hold: string): void {
    this.deferredHolds.add(hold)
    this.claim.requireNewClaim()
  }

  /**
   * Moves tasks off the worker: each task writes a checkpoint, stops and is placed again.
   *
   * @param choose - selects the tasks to move
   * @returns number of tasks that are being moved
   */
  async vacate (choose: (task: PlacementRow) => boolean): Promise<number> {
    if (this.claim.state === 'claiming') return 0
    const leaving = this.placements.all().filter(placement => placement.intent === 'run' && placement.endEvent === null && choose(placement.row))
    const { version } = this.claim
    const outcomes = await this.transitions.apply(leaving.map(placement => ({ ...this.buildTransition(placement, version), event: 'vacate' })))
    const count = outcomes.filter(outcome => outcome === 'committed').length
    if (count > 0) this.needsReconcile = true
    return count
  }

  /** Reconciles the worker with the table. A call during a reconciliation causes another one after it. */
  async reconcile (): Promise<void> {
    if (this.isReconciling) {
      this.needsReconcile = true
      return
    }
    this.isReconciling = true
    try {
      do {
        this.needsReconcile = false
        await this.reconcileOnce()
      } while (this.needsReconcile && this.mayAct())
    } finally {
      this.isReconciling = false
    }
  }

  private async reconcileOnce (): Promise<void> {
    if (!this.mayAct()) return
    const report = this.instance === null ? null : await this.context.workers.report(this.instance)
    const receivedAt = this.context.clock.now()
    const isCurrent = await this.refreshPlacements()
    if (this.isStopped) return
    if (report === null || report.isErr()) {
      this.logSilence(report === null ? 'the worker is gone' : report.error.message)
      await this.writeEnds(this.findExpired())
      return
    }
    this.isSilent = false
    this.isSilenceLogged = false
    await this.sendCommands(report.value, receivedAt, isCurrent)
    if (this.instance?.state === 'leaving' && isCurrent) await this.vacate(() => true)
  }

  /** Reads the placements under a valid claim. Returns whether the placements known here are those in the table. */
  private async refreshPlacements (): Promise<boolean> {
    const isFirstClaim = this.claim.claimedAt === null
    if (!await this.claim.ensure(this.mayAct)) return false
    const isCounting = this.claim.state === 'counting'
    const deferred = [...this.deferredHolds]
    if (!await this.placements.refresh()) return false
    if (!await this.claim.confirm() || this.isStopped) return false
    if (!isCounting) return true
    for (const hold of deferred) this.resolveDeferredHold(hold)
    this.claim.transition('counted')
    this.context.capacity.tasksCounted(this.worker)
    if (isFirstClaim) this.context.log.write(EVENTS.claimed, { worker: this.worker, tasks: this.placementCount })
    return true
  }

  private resolveDeferredHold (hold: string): void {
    this.deferredHolds.delete(hold)
    if (this.placements.all().some(placement => placement.row.hold === hold)) return
    this.context.capacity.release(hold)
  }

  private async sendCommands (report: WorkerReport, receivedAt: number, isCurrent: boolean): Promise<void> {
    if (this.claim.claimedAt === null || this.instance === null) return
    const commands = new TaskCommands({ context: this.context, worker: this.instance, report, receivedAt, mayAct: this.mayAct })
    const { ended, renewals, starts, stops } = sortPlacements(this.placements.all(), report, receivedAt, this.context)
    await commands.renew(renewals)
    if (isCurrent && starts.length > 0) {
      await Promise.all(starts.map(async placement => { await commands.start(placement) }))
      this.events.onTasksStarted(this.worker)
    }
    if (await commands.stop(stops)) ended.push(...stops.map(placement => setEndEvent(placement, this.context)))
    await this.writeEnds(ended)
    if (isCurrent) await this.stopUnknownRuns(commands, report.tasks)
  }

  /**
   * Finds tasks of a silent worker whose leases have expired for certain. Any command sent earlier, also by a previous owner
   * before the claim, has lost its effect after the validity of commands plus one lease, on clocks that drift apart.
   */
  private findExpired (): Placement[] {
    const { claimedAt } = this.claim
    if (claimedAt === null) return []
    const { leaseDuration, commandValidity, maxClockDrift } = this.context.tuning
    const wait = (leaseDuration + commandValidity) * (1 + maxClockDrift)
    const now = this.context.clock.now()
    const expired = this.placements.all().filter(placement => placement.endEvent !== null || now > Math.max(claimedAt, placement.lastCommandAt ?? claimedAt) + wait)
    for (const placement of expired) {
      if (placement.endEvent !== null) continue
      placement.endEvent = 'lose'
      this.context.log.write(EVENTS.lost, { job: placement.row.job, index: placement.row.index, worker: this.worker, reason: 'its lease has run out and the worker is silent' })
    }
    return expired
  }

  private async writeEnds (placements: Placement[]): Promise<void> {
    if (placements.length === 0 || this.claim.state === 'claiming') return
    const { version } = this.claim
    const outcomes = await this.transitions.apply(placements.map(placement => this.buildTransition(placement, version)))
    placements.forEach((placement, number) => { this.applyOutcome(placement, outcomes[number]!) })
    const changed = placements.filter((_, number) => outcomes[number] === 'committed')
    if (changed.length > 0) this.events.onJobsChanged(changed.map(placement => placement.row.job))
  }

  private buildTransition (placement: Placement, version: number): TaskTransition {
    const { job, index, fence } = placement.row
    const patch = { checkpoint: placement.checkpoint }
    return { job, index, fence, event: placement.endEvent ?? 'lose', patch, claim: { worker: this.worker, version } }
  }

  private applyOutcome (placement: Placement, outcome: TransitionOutcome): void {
    const { job, index } = placement.row
    if (outcome === 'conflict') this.claim.transition('disputed')
    if (outcome !== 'committed') return
    const event = placement.endEvent
    this.context.log.write(EVENTS.ended, { job, index, worker: this.worker, event })
    if (event === 'finish' || event === 'retry') this.events.onRunEnded(this.worker, event === 'finish')
    if (!this.isStopped) this.placements.remove(placement)
  }

  /** Stops tasks that the table does not place on the worker, once they appear in two reports with a read of the table in between. */
  private async stopUnknownRuns (commands: TaskCommands, tasks: TaskReport[]): Promise<void> {
    const unknown = tasks.filter(task => !this.placements.has(task.task, task.fence))
    const seenTwice = unknown.filter(task => this.unknownRuns.has(`${task.task}@${task.fence}`))
    this.unknownRuns = new Set(unknown.map(task => `${task.task}@${task.fence}`))
    await commands.stopTasks(seenTwice.map(({ task, fence }) => ({ task, fence })))
  }

  private logSilence (reason: string): void {
    this.isSilent = true
    if (this.isSilenceLogged) return
    this.isSilenceLogged = true
    this.context.log.write(EVENTS.silent, { worker: this.worker, reason })
  }
}
