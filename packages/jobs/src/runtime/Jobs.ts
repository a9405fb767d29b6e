import type { Incarnation, Instance, JobMessage, Result, TableError, Timer } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { JobStatus, JobSummary } from '../types/job.js'
import { DEFAULT_TUNING } from '../types/tuning.js'
import type { Tuning } from '../types/tuning.js'
import { Canceller } from './Canceller.js'
import type { CancelResult } from './Canceller.js'
import { Driver } from './Driver.js'
import { JobReader } from './JobReader.js'
import { WorkerSupervisors } from './WorkerSupervisors.js'
import { Placer } from './Placer.js'
import { Messenger } from './Messenger.js'
import { Submitter } from './Submitter.js'
import type { JobError } from './Submitter.js'
import { TableWriter } from './TableWriter.js'
import { TransitionWriter } from './TransitionWriter.js'

/** Options of `Jobs`. */
export type JobsOptions = Omit<Context, 'tuning' | 'quarantine'> & {
  quarantine?: Context['quarantine']
  /** Values that replace those of `DEFAULT_TUNING`. */
  tuning?: Partial<Tuning>
}

/**
 * The job subsystem of one node. It accepts jobs, drives those that are assigned to this node, and supervises the tasks on
 * the workers that this node owns.
 */
export class Jobs {
  private readonly context: Context
  private readonly messenger: Messenger
  private readonly reader: JobReader
  private readonly submitter: Submitter
  private readonly canceller: Canceller
  private readonly driver: Driver
  private readonly placer: Placer
  private readonly supervisors: WorkerSupervisors
  private timers: Timer[] = []

  /** @param options - interfaces to the platform and to the other nodes, the ownership and capacity of workers, and the rules */
  constructor (options: JobsOptions) {
    this.context = { quarantine: () => {}, ...options, tuning: { ...DEFAULT_TUNING, ...options.tuning } }
    const { context } = this
    const writer = new TableWriter(context)
    this.messenger = new Messenger(context)
    this.reader = new JobReader(context)
    const parts = { context, writer, messenger: this.messenger, reader: this.reader, transitions: new TransitionWriter({ context, writer }) }
    this.submitter = new Submitter(parts)
    this.canceller = new Canceller(parts)
    this.placer = new Placer(parts)
    this.driver = new Driver({ ...parts, placer: this.placer })
    this.supervisors = new WorkerSupervisors(parts)
    context.ownership.onGained(worker => { this.supervisors.superviseOwned(worker) })
    context.ownership.onLost(worker => { this.supervisors.release(worker) })
  }

  /** Starts to drive jobs and to supervise workers. */
  start (): void {
    if (this.timers.length > 0) return
    const { clock, tuning } = this.context
    this.timers = [
      clock.repeat(tuning.driveInterval, () => { this.runStep('drive', async () => { await this.driver.reconcileOpenJobs() }) }),
      clock.repeat(tuning.superviseInterval, () => { this.supervisors.tick() })
    ]
    this.supervisors.tick()
  }

  /** Stops all periodic work. Tasks keep running until another node supervises their workers or their leases expire. */
  stop (): void {
    for (const timer of this.timers) timer.cancel()
    this.timers = []
    this.supervisors.stop()
  }

  /**
   * Handles a message of another node. Messages that arrive while the subsystem is stopped are dropped.
   *
   * @param from - incarnation of the sender
   * @param message - a message of the job subsystem
   */
  receive (from: Incarnation, message: JobMessage): void {
    if (this.timers.length === 0) return
    this.messenger.dispatch(from, message, {
      hold: (driver, body) => { this.supervisors.holds.handleRequest(driver, body) },
      held: (_owner, body) => { this.placer.handleHolds(body) },
      release: (_driver, body) => { this.supervisors.holds.handleRelease(body) },
      committed: (_driver, body) => {
        this.supervisors.holds.handleCommitted(body)
        this.supervisors.reconcile(body.workers)
      },
      changed: (_from, body) => {
        for (const job of body.jobs) this.runStep('drive', async () => { await this.driver.reconcileNow(job) })
      },
      stirred: (_from, body) => { this.supervisors.reconcile(body.workers) }
    })
  }

  /**
   * Validates a job and writes its rows. Submitting the same job again has no effect.
   *
   * @param spec - the job specification, not yet validated
   * @returns status of the job, or why it was not accepted; after a table error of fault `unknown` the job may or may not
   * have been accepted
   */
  async submit (spec: unknown): Promise<Result<JobStatus, JobError>> {
    const result = await this.submitter.submit(spec)
    if (result.isOk()) this.messenger.notifyDrivers([result.value.id])
    return result
  }

  /**
   * Marks a job for cancellation. A job that has ended stays unchanged.
   *
   * @param id - identifier of the job
   * @returns the job, `null` when there is no such job, or the error of the table
   */
  async cancel (id: string): Promise<CancelResult> {
    return await this.canceller.cancel(id)
  }

  /**
   * @param id - identifier of a job
   * @returns status of the job and its tasks, `null` when there is no such job, or the error of the table
   */
  async status (id: string): Promise<Result<JobStatus | null, TableError>> {
    return await this.reader.status(id)
  }

  /**
   * @param range - `after`: list only identifiers after this one; `limit`: maximum number of jobs (default and maximum 1000)
   * @returns jobs in the order of their identifiers, including ended jobs, or the error of the table
   */
  async list (range: { after?: string, limit?: number } = {}): Promise<Result<JobSummary[], TableError>> {
    return await this.reader.list(range)
  }

  /**
   * Moves tasks off a worker: each task writes a checkpoint, stops and is placed again.
   *
   * @param worker - a worker that this node supervises
   * @param choose - selects the tasks to move (default all)
   * @returns number of tasks that are being moved; 0 when this node does not supervise the worker
   */
  async vacate (worker: Instance, choose?: (task: { job: string, index: number, class: string }) => boolean): Promise<number> {
    return await this.supervisors.vacate(worker.id, choose)
  }

  /**
   * Ends the quarantine of a worker and clears its recorded runs.
   *
   * @param worker - identifier of the worker
   */
  resetFailures (worker: string): void {
    this.supervisors.failures.reset(worker)
  }

  private runStep (step: string, action: () => Promise<void>): void {
    action().catch((error: unknown) => { this.context.log.write(EVENTS.fault, { step, error: String(error) }) })
  }
}
