import type { Clock } from '@rattanstep/core'
import type { OpenJobReport } from '@rattanstep/policy'
import type { Log } from '@rattanstep/telemetry'
import { detach } from '../runtime/detach.js'
import { runLogged } from '../runtime/runLogged.js'
import { CELL_EVENTS } from '../types/events.js'
import type { Job } from '../types/job.js'
import type { RecordStore } from '../types/records.js'
import { DeferredJobs, rankOf } from './DeferredJobs.js'
import type { DeferredJob } from './DeferredJobs.js'
import { JobLoader } from './JobLoader.js'
import type { LoadedJob } from './JobLoader.js'
import { OpenJobTotals } from './OpenJobTotals.js'
import { weighJob } from './weighJob.js'

/** Interval between log lines about deferred jobs. */
const REPORT_INTERVAL_MS = 5000
/** Interval between reads of the whole store for jobs whose ids were dropped. */
const MIN_RESCAN_INTERVAL_MS = 2000

/** Options of the open jobs of a decider. */
export interface OpenJobsOptions {
  store: RecordStore
  clock: Clock
  log: Log
  /** Returns the weight in bytes of the jobs that the decider may hold. */
  limit: () => number
  /** Number of deferred jobs whose ids are kept. */
  maxDeferred?: number
  /** Called for each job that must wait in the store, and for each whose id is dropped. */
  onLimit?: (limit: 'openJobBytes' | 'deferredJobs') => void
  /** Receives a deferred job that has been read from the store; the decider holds it from now on. */
  onLoaded: (job: DeferredJob, loaded: LoadedJob) => void
  /** Reads the store again for deferred jobs whose ids were dropped; passes each with `defer`. */
  rescan: () => Promise<void>
}

/** Bounds the open jobs that a decider holds. Accepted jobs beyond the bound wait in the store and are loaded as room comes. */
export class OpenJobs {
  readonly totals = new OpenJobTotals()
  private readonly deferred: DeferredJobs
  /** Jobs that are being read, by id. */
  private readonly loading = new Map<string, DeferredJob>()
  /** Ids of deferred jobs that are loaded first, whatever room there is. */
  private readonly wanted = new Set<string>()
  /** Ids of jobs whose cancellation became known while they were being read. */
  private readonly cancelledInLoad = new Set<string>()
  private readonly loader: JobLoader
  private loggedAt = -Infinity
  private rescannedAt = -Infinity
  private isRescanning = false
  /** Whether jobs may be loaded. */
  private isStarted = false

  constructor (private readonly options: OpenJobsOptions) {
    this.deferred = new DeferredJobs(options.maxDeferred)
    this.loader = new JobLoader({ ...options, takeNext: () => this.takeNext(), onLoaded: (job, loaded) => { this.handleLoaded(job, loaded) }, onFailed: job => { this.handleFailed(job) } })
  }

  /** Starts to load jobs; until then, they are only noted. */
  start (): void {
    this.isStarted = true
    this.startLoading()
  }

  /** @returns number of accepted jobs that wait in the store, as far as they are known */
  get waiting (): number {
    return this.deferred.size + this.loading.size
  }

  /** @returns whether a job that becomes known must wait in the store: there is no room, or others of its holder that are as urgent wait already */
  mustDefer (job: Job, priority: number): boolean {
    const weighed = weighJob(job)
    const first = this.deferred.firstOf(weighed.holder)
    return !this.totals.hasRoom(weighed, this.options.limit()) || (first !== undefined && rankOf(first) <= priority)
  }

  /** @returns bytes of the jobs that may be read together; the rest of the limit is for those of other holders */
  get room (): number {
    return Math.max(0, this.options.limit() / 2 - this.totals.held)
  }

  /** Counts a job that the decider holds from now on. */
  hold (job: Job): void {
    this.totals.add(weighJob(job), 'held')
  }

  /** Counts the end of a job that the decider has held. */
  noteEnd (job: Job): void {
    this.totals.noteEnd(weighJob(job), this.options.clock.now())
    this.startLoading()
  }

  /** Counts that the phase of an ended job is no longer kept. */
  forgetEnded (holder: string): void {
    this.totals.forgetEnded(holder)
  }

  /** Leaves an accepted job in the store. */
  defer (job: DeferredJob): void {
    if (this.isDeferred(job.id)) return
    this.totals.add(job, 'waiting')
    const dropped = this.deferred.add(job)
    this.options.onLimit?.('openJobBytes')
    if (dropped !== undefined) {
      this.totals.remove(dropped, 'waiting')
      this.options.onLimit?.('deferredJobs')
    }
    this.logDeferral()
    this.startLoading()
  }

  /** @returns whether an accepted job is known to wait in the store */
  isDeferred (id: string): boolean {
    return this.deferred.has(id) || this.loading.has(id)
  }

  /**
   * Loads a deferred job before others, whatever room there is: a worker has listed one of its runs, or it was cancelled.
   *
   * @returns whether the job is known to be deferred
   */
  loadNow (id: string): boolean {
    if (this.loading.has(id)) return true
    if (!this.deferred.has(id)) return false
    this.wanted.add(id)
    this.startLoading()
    return true
  }

  /** Has a deferred job loaded whose cancellation is on record. */
  cancel (id: string): void {
    if (this.loadNow(id) && this.loading.has(id)) this.cancelledInLoad.add(id)
  }

  /** Notes which jobs were submitted beyond the rates of their organisations. */
  markBeyondRate (ids: ReadonlySet<string>): void {
    this.deferred.markBeyondRate(ids)
  }

  /** Loads deferred jobs if there is room for them. */
  startLoading (): void {
    if (!this.isStarted) return
    if (this.deferred.size > 0) this.loader.start()
    else if (this.deferred.hasDropped && this.loading.size === 0) this.rescan()
  }

  /** @returns number of deferred jobs of a route that have not started */
  countWaiting (route: string): number {
    let loading = 0
    for (const job of this.loading.values()) if (job.route === route && !job.isStarted) loading++
    return this.deferred.countWaiting(route) + loading
  }

  /** @returns what is in use, or `undefined` while that is little */
  report (): OpenJobReport | undefined {
    return this.totals.report(this.options.limit(), { now: this.options.clock.now(), hasDropped: holder => this.deferred.hasDroppedOf(holder) })
  }

  stop (): void {
    this.loader.stop()
  }

  private takeNext (): DeferredJob | undefined {
    const [wanted] = this.wanted
    if (wanted !== undefined) {
      this.wanted.delete(wanted)
      return this.take(wanted) ?? this.takeNext()
    }
    const limit = this.options.limit()
    const next = this.deferred.findFirst(job => this.totals.hasRoom(job, limit))
    return next === undefined ? undefined : this.take(next.id)
  }

  private take (id: string): DeferredJob | undefined {
    const job = this.deferred.remove(id)
    if (job === undefined) return undefined
    this.loading.set(id, job)
    this.totals.remove(job, 'waiting')
    this.totals.add(job, 'held')
    return job
  }

  private handleLoaded (job: DeferredJob, loaded: LoadedJob | undefined): void {
    this.loading.delete(job.id)
    // Its weight is counted again by `hold`.
    this.totals.remove(job, 'held')
    const isCancelled = this.cancelledInLoad.delete(job.id)
    if (loaded !== undefined) runLogged(() => { this.options.onLoaded(job, { ...loaded, isCancelled: loaded.isCancelled || isCancelled }) }, this.options.log, 'load of a deferred job')
    this.startLoading()
  }

  private handleFailed (job: DeferredJob): void {
    this.loading.delete(job.id)
    this.totals.remove(job, 'held')
    this.totals.add(job, 'waiting')
    if (this.cancelledInLoad.delete(job.id)) this.wanted.add(job.id)
    const dropped = this.deferred.add(job)
    if (dropped !== undefined) this.totals.remove(dropped, 'waiting')
  }

  private rescan (): void {
    const { clock, log, rescan } = this.options
    if (this.isRescanning || this.room === 0) return
    this.isRescanning = true
    clock.schedule(Math.max(0, this.rescannedAt + MIN_RESCAN_INTERVAL_MS - clock.now()), () => {
      this.rescannedAt = clock.now()
      this.deferred.startScan()
      detach(rescan().then(() => { this.deferred.endScan() }).finally(() => {
        this.isRescanning = false
        if (this.deferred.size > 0) this.startLoading()
      }), log, 'read of deferred jobs')
    })
  }

  private logDeferral (): void {
    const { clock, log, limit } = this.options
    if (clock.now() - this.loggedAt < REPORT_INTERVAL_MS) return
    this.loggedAt = clock.now()
    log.write(CELL_EVENTS.jobsDeferred, { waiting: this.waiting, dropped: this.deferred.hasDropped, held: Math.round(this.totals.held), limit: Math.round(limit()) })
  }
}
