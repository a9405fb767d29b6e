import { hash32, rankNodes } from '@rattanstep/core'
import type { Instance } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { FailureMonitor } from './FailureMonitor.js'
import { HoldLedger } from './HoldLedger.js'
import type { Messenger } from './Messenger.js'
import type { TableWriter } from './TableWriter.js'
import type { TransitionWriter } from './TransitionWriter.js'
import { WorkerSupervisor } from './WorkerSupervisor.js'

const CLAIM_PREFIX = 'keeper/'
const MAX_CLAIM_ROWS = 1000
/** After starting tasks, a worker is reconciled again after this fraction of the interval, because short tasks end early. */
const EARLY_RECONCILE_DIVISOR = 5
/** Ticks between two scans for workers that are gone. */
const GONE_SCAN_TICKS = 5
/** Ticks between two reconciliations of an idle worker. */
const IDLE_RECONCILE_TICKS = 10

/** The supervisors of all workers that this node owns, and of gone workers that it is responsible for. */
export class WorkerSupervisors {
  readonly holds: HoldLedger
  readonly failures: FailureMonitor
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly transitions: TransitionWriter
  private readonly messenger: Messenger
  private readonly supervisors = new Map<string, WorkerSupervisor>()
  private tickCount = 0

  /** @param options - dependencies of the supervisors */
  constructor (options: { context: Context, writer: TableWriter, transitions: TransitionWriter, messenger: Messenger }) {
    this.context = options.context
    this.writer = options.writer
    this.transitions = options.transitions
    this.messenger = options.messenger
    this.failures = new FailureMonitor({ clock: options.context.clock, quarantineDuration: options.context.tuning.quarantineDuration })
    this.holds = new HoldLedger({ ...options, supervisors: this.supervisors, isQuarantined: worker => this.failures.isQuarantined(worker) })
  }

  /** Follows changes of ownership and reconciles the workers that are due. */
  tick (): void {
    this.syncOwnership()
    this.holds.expire()
    for (const supervisor of this.supervisors.values()) {
      if (this.isDue(supervisor)) this.startReconcile(supervisor)
    }
    if (this.tickCount++ % GONE_SCAN_TICKS !== 0) return
    this.superviseGoneWorkers().catch((error: unknown) => { this.context.log.write(EVENTS.fault, { step: 'find-gone', error: String(error) }) })
  }

  /** @param worker - worker that this node has come to own */
  superviseOwned (worker: Instance): void {
    this.release(worker.id)
    this.createSupervisor(worker.id, worker, () => this.context.ownership.owns(worker.id))
  }

  /** @param worker - identifier of a worker that this node no longer owns */
  release (worker: string): void {
    const supervisor = this.supervisors.get(worker)
    if (supervisor === undefined) return
    this.supervisors.delete(worker)
    this.holds.dropWorker(worker)
    supervisor.stop()
    this.context.log.write(EVENTS.dropped, { worker })
  }

  /** @param workers - identifiers of the workers to reconcile now; workers that this node does not supervise are skipped */
  reconcile (workers: string[]): void {
    for (const name of new Set(workers)) {
      const supervisor = this.supervisors.get(name)
      if (supervisor !== undefined) this.startReconcile(supervisor)
    }
  }

  /**
   * Moves tasks off a worker: each task writes a checkpoint, stops and is placed again.
   *
   * @param worker - identifier of the worker
   * @param choose - selects the tasks to move (default all)
   * @returns number of tasks that are being moved; 0 when this node does not supervise the worker
   */
  async vacate (worker: string, choose: (task: { job: string, index: number, class: string }) => boolean = () => true): Promise<number> {
    const supervisor = this.supervisors.get(worker)
    if (supervisor === undefined) return 0
    const count = await supervisor.vacate(choose)
    if (count > 0) this.startReconcile(supervisor)
    return count
  }

  /** Stops the supervision of all workers. */
  stop (): void {
    for (const worker of [...this.supervisors.keys()]) this.release(worker)
  }

  /**
   * Idle workers are reconciled less often, spread over the ticks. This is safe because nothing is placed on a worker
   * without a message to the node that supervises it.
   */
  private isDue (supervisor: WorkerSupervisor): boolean {
    if (!supervisor.isIdle || this.holds.hasHoldsOn(supervisor.worker)) return true
    return (this.tickCount + hash32(supervisor.worker)) % IDLE_RECONCILE_TICKS === 0
  }

  private syncOwnership (): void {
    const { ownership } = this.context
    const instances = new Map(ownership.ownedWorkers().map(worker => [worker.id, worker]))
    for (const [worker, instance] of instances) {
      const known = this.supervisors.get(worker)
      if (known?.instance == null) this.superviseOwned(instance)
      else known.instance = instance
    }
    for (const [worker, supervisor] of this.supervisors) {
      const isResponsible = supervisor.instance === null ? this.isResponsibleForGone(worker) : instances.has(worker)
      if (!isResponsible) this.release(worker)
    }
  }

  /** Supervises workers that no node can own any longer, so that one node declares the tasks on each of them lost. */
  private async superviseGoneWorkers (): Promise<void> {
    const rows = await this.context.table.list({ prefix: CLAIM_PREFIX, limit: MAX_CLAIM_ROWS })
    if (rows.isErr()) return
    for (const row of rows.value) {
      const worker = row.key.slice(CLAIM_PREFIX.length)
      if (!this.supervisors.has(worker) && this.isResponsibleForGone(worker)) this.createSupervisor(worker, null, () => this.isResponsibleForGone(worker))
    }
  }

  private isResponsibleForGone (worker: string): boolean {
    const { holders, ownership, self } = this.context
    return ownership.isGone(worker) && rankNodes(worker, holders())[0] === self
  }

  private createSupervisor (worker: string, instance: Instance | null, mayAct: () => boolean): void {
    const events = {
      onJobsChanged: (jobs: string[]) => { this.messenger.notifyDrivers(jobs) },
      onTasksStarted: (name: string) => {
        this.context.clock.schedule(this.context.tuning.superviseInterval / EARLY_RECONCILE_DIVISOR, () => { this.reconcile([name]) })
      },
      onRunEnded: (name: string, ok: boolean) => { this.recordRun(name, ok) }
    }
    const supervisor = new WorkerSupervisor({ context: this.context, writer: this.writer, transitions: this.transitions, events, worker, instance, mayAct })
    this.supervisors.set(worker, supervisor)
    this.startReconcile(supervisor)
  }

  private recordRun (worker: string, ok: boolean): void {
    const verdict = this.failures.recordRun(worker, ok)
    if (verdict === null) return
    this.context.log.write(EVENTS.quarantined, { worker, ...verdict })
    this.context.quarantine(worker, `${verdict.failures} of its last ${verdict.runs} runs failed`)
  }

  private startReconcile (supervisor: WorkerSupervisor): void {
    supervisor.reconcile().catch((error: unknown) => { this.context.log.write(EVENTS.fault, { step: `look ${supervisor.worker}`, error: String(error) }) })
  }
}
