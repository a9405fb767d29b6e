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
import { Keepers } from './WorkerSupervisors.js'
import { Placer } from './Placer.js'
import { Post } from './Messenger.js'
import { Submitter } from './Submitter.js'
import type { JobError } from './Submitter.js'
import { TableWriter } from './TableWriter.js'
import { Transitions } from './TransitionWriter.js'

/** What `Jobs` is made of. */
export type JobsOptions = Omit<Context, 'tuning' | 'quarantine'> & {
  quarantine?: Context['quarantine']
  /** Periods and bounds that differ from the defaults. */
  tuning?: Partial<Tuning>
}

/** Jobs and their tasks, as one node looks after them. */
export class Jobs {
  private readonly context: Context
  private readonly post: Post
  private readonly reader: JobReader
  private readonly submitter: Submitter
  private readonly canceller: Canceller
  private readonly driver: Driver
  private readonly placer: Placer
  private readonly keepers: Keepers
  private timers: Timer[] = []

  /** @param options - interfaces to the platform, to the other nodes and to the ownership of workers */
  constructor (options: JobsOptions) {
    this.context = { quarantine: () => {}, ...options, tuning: { ...DEFAULT_TUNING, ...options.tuning } }
    const { context } = this
    const writer = new TableWriter(context)
    this.post = new Post(context)
    this.reader = new JobReader(context)
    const parts = { context, writer, post: this.post, reader: this.reader, transitions: new Transitions({ context, writer }) }
    this.submitter = new Submitter(parts)
    this.canceller = new Canceller(parts)
    this.placer = new Placer(parts)
    this.driver = new Driver({ ...parts, placer: this.placer })
    this.keepers = new Keepers(parts)
    context.owned.onGained(worker => { this.keepers.gain(worker) })
    context.owned.onLost(worker => { this.keepers.lose(worker) })
  }

  /** Begins to drive jobs and to keep workers. */
  start (): void {
    if (this.timers.length > 0) return
    const { clock, tuning } = this.context
    this.timers = [
      clock.repeat(tuning.drivePeriod, () => { this.run('drive', async () => { await this.driver.sweep() }) }),
      clock.repeat(tuning.keepPeriod, () => { this.keepers.tick() })
    ]
    this.keepers.tick()
  }

  /** Ends all periodic work. Tasks go on until another node keeps their workers or their leases end. */
  stop (): void {
    for (const timer of this.timers) timer.cancel()
    this.timers = []
    this.keepers.stop()
  }

  /**
   * @param from - the sender
   * @param message - a message of the job subsystem
   */
  receive (from: Incarnation, message: JobMessage): void {
    if (this.timers.length === 0) return
    this.post.dispatch(from, message, {
      hold: (driver, body) => { this.keepers.holds.request(driver, body) },
      held: (_owner, body) => { this.placer.held(body) },
      release: (_driver, body) => { this.keepers.holds.release(body) },
      committed: (_driver, body) => {
        this.keepers.holds.committed(body)
        this.keepers.look(body.workers)
      },
      changed: (_from, body) => {
        for (const job of body.jobs) this.run('drive', async () => { await this.driver.driveAnew(job) })
      },
      stirred: (_from, body) => { this.keepers.look(body.workers) }
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
    if (result.isOk()) this.post.tellDrivers([result.value.id])
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
    return await this.keepers.vacate(worker.id, choose)
  }

  /**
   * Gives a quarantined worker another chance.
   *
   * @param worker - identifier of the worker
   */
  forgive (worker: string): void {
    this.keepers.failures.forgive(worker)
  }

  private run (step: string, action: () => Promise<void>): void {
    action().catch((error: unknown) => { this.context.log.write(EVENTS.fault, { step, error: String(error) }) })
  }
}
