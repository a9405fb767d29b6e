import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { detach } from '../runtime/detach.js'
import { readRecord } from '../runtime/recordRows.js'
import type { StoredRecord } from '../runtime/recordRows.js'
import { repeatWhile } from '../runtime/repeatWhile.js'
import { CANCELLATION_SUFFIX, recordRowName, submissionRowName } from '../runtime/rowNames.js'
import { decodeSubmission } from '../runtime/submissionRow.js'
import { CELL_EVENTS } from '../types/events.js'
import type { RecordedJob } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import type { DeferredJob } from './DeferredJobs.js'

/** Number of jobs that are read at the same time, two rows each; as many reads as the takeover makes stand before a heartbeat on the link. */
const MAX_CONCURRENT_LOADS = 8
/** Delay before the next attempt after the store has not answered. */
const RETRY_DELAY_MS = 500

/** A job as read from the store. */
export interface LoadedJob {
  recorded: RecordedJob
  /** Record of a job that has started. */
  stored: StoredRecord | undefined
  isCancelled: boolean
}

/** Options of a loader. */
export interface JobLoaderOptions {
  store: RecordStore
  clock: Clock
  log: Log
  /** Takes the next job to load, or returns `undefined` if there is none or no room for it. */
  takeNext: () => DeferredJob | undefined
  /** Receives a job that was loaded; `loaded` is `undefined` if the job is not on record any more or can't be decoded. */
  onLoaded: (job: DeferredJob, loaded: LoadedJob | undefined) => void
  /** Receives a job that could not be read, because the store does not answer. */
  onFailed: (job: DeferredJob) => void
}

/** Reads deferred jobs from the store while there is room for them. */
export class JobLoader {
  private isRunning = false
  /** Whether there may be further jobs to load. */
  private isRequested = false
  private isStopped = false

  constructor (private readonly options: JobLoaderOptions) {}

  /** Starts to load, unless that is under way. */
  start (): void {
    this.isRequested = true
    if (this.isRunning || this.isStopped) return
    this.isRunning = true
    detach(this.loadAll(), this.options.log, 'load of deferred jobs')
  }

  stop (): void {
    this.isStopped = true
  }

  private async loadAll (): Promise<void> {
    const { clock, log, takeNext } = this.options
    await repeatWhile(() => this.isRequested && !this.isStopped, async () => {
      const batch: DeferredJob[] = []
      for (let job = takeNext(); job !== undefined; job = batch.length < MAX_CONCURRENT_LOADS ? takeNext() : undefined) batch.push(job)
      this.isRequested = batch.length > 0
      const areRead = await Promise.all(batch.map(async job => await this.load(job)))
      if (areRead.includes(false) && !this.isStopped) await clock.sleep(RETRY_DELAY_MS)
    }, { clock, log, step: 'load of deferred jobs' })
    this.isRunning = false
  }

  /** @returns whether the store has answered */
  private async load (job: DeferredJob): Promise<boolean> {
    const { store, log, onLoaded, onFailed } = this.options
    const { id } = job
    const [record, submission] = await Promise.all([
      job.isStarted ? store.range({ ...recordRowName(id), from: id, until: id + '\0' }) : undefined,
      store.range({ ...submissionRowName(id), from: id, until: id + CANCELLATION_SUFFIX + '\0' })
    ])
    const [row] = record?.isOk() === true ? record.value.rows : []
    const stored = row === undefined ? undefined : await readRecord(store, row)
    if (this.isStopped) return true
    if (submission.isErr() || record?.isErr() === true || (stored?.isErr() === true && stored.error.code !== 'unreadable')) {
      onFailed(job)
      return false
    }
    if (stored?.isErr() === true) log.write(CELL_EVENTS.badRow, { key: id, problem: stored.error.reason })
    onLoaded(job, this.decode(id, submission.value.rows, stored?.isOk() === true ? stored.value : undefined))
    return true
  }

  private decode (id: string, rows: Row[], stored: StoredRecord | undefined): LoadedJob | undefined {
    const row = rows.find(({ key }) => key === id)
    if (row === undefined) return undefined
    const job = decodeSubmission(row.value)
    if (job.isErr()) {
      this.options.log.write(CELL_EVENTS.badRow, { key: id, problem: job.error })
      return undefined
    }
    return { recorded: { job: job.value, version: row.version }, stored, isCancelled: rows.some(({ key }) => key === id + CANCELLATION_SUFFIX) }
  }
}
