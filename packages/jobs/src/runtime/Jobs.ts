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

/** What `Jobs` is made of. */
export type JobsOptions = Omit<Context, 'tuning' | 'quarantine'> & {
  quarantine?: Context['quarantine']
  /** Periods and bounds that differ from the defaults. */
  tuning?: Partial<Tuning>
}

/** Jobs and their tasks, as one node looks after them. */
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

  /** @param options - interfaces to the platform, to the other nodes and to the ownership of workers */
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

  /** Begins to drive jobs and to keep workers. */
  start (): void {
    if (this.timers.length > 0) return
    const { clock, tuning } = this.context
    this.timers = [
      clock.repeat(tuning.driveInterval, () => { this.runStep('drive', async () => { await this.driver.reconcileOpenJobs() }) }),
      clock.repeat(tuning.superviseInterval, () => { this.supervisors.tick() })
    ]
    this.supervisors.tick()
  }

  /** Ends all periodic work. Tasks go on until another node keeps their workers or their leases end. */
  stop (): void {
    for (const timer of this.timers) timer.cancel()
    this.timers = []
    this.supervisors.stop()
  }

  /**
   * @param from - the sender
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
   * Accepts a job by writing its rows. A repeat of the same job is accepted without effect.
   *
   * @param spec - the job, of any shape
   * @returns how the job stands, or why it was not accepted; after a table error of fault `unknown` it may have been
   */
  async submit (spec: unknown): Promise<Result<JobStatus, JobError>> {
    const result = await this.submitter.submit(spec)
    if (result.isOk()) this.messenger.notifyDrivers([result.value.id])
    return result
  }

  /**
   * @param id - identifier of a job
   * @returns how the job stands, `null` when there is none; one that has ended stays as it is
   */
  async cancel (id: string): Promise<CancelResult> {
    return await this.canceller.cancel(id)
  }

  /**
   * @param id - identifier of a job
   * @returns how it stands with all its tasks, `null` when there is none
   */
  async status (id: string): Promise<Result<JobStatus | null, TableError>> {
    return await this.reader.status(id)
  }

  /**
   * @param range - `after`: identifiers after this one only; `limit`: at most this many (default 1000)
   * @returns jobs in the order of their identifiers, ended ones too
   */
  async list (range: { after?: string, limit?: number } = {}): Promise<Result<JobSummary[], TableError>> {
    return await this.reader.list(range)
  }

  /**
   * Moves tasks off a worker: each writes a checkpoint, stops and is placed again.
   *
   * @param worker - a worker kept here
   * @param choose - which tasks are to go (default all)
   * @returns number of tasks that were told to go
   */
  async vacate (worker: Instance, choose?: (task: { job: string, index: number, class: string }) => boolean): Promise<number> {
    return await this.supervisors.vacate(worker.id, choose)
  }

  /**
   * Gives a quarantined worker another chance.
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
