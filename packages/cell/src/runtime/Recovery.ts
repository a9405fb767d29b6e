import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { DeferredJob } from '../openJobs/DeferredJobs.js'
import { JobSelection } from '../openJobs/JobSelection.js'
import type { SelectedJob } from '../openJobs/JobSelection.js'
import type { MeteredJob } from '../organisations/OrganisationTable.js'
import type { RecordedJob } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { CELL_EVENTS } from '../types/events.js'
import type { EndedPhase } from './Registry.js'
import { hasRecordedRuns } from './jobRecord.js'
import { decodeRecordRow, readRecord } from './recordRows.js'
import type { StoredRecord } from './recordRows.js'
import { readPages } from './readPages.js'
import { RECORDS, submissionParts } from './rowNames.js'
import { partitionSubmissions } from './partitionSubmissions.js'

/** Delay between attempts while the store does not answer. */
const RETRY_DELAY_MS = 100

/**
 * Maximum number of parts that are read at the same time. With their pages, this much stands before every heartbeat and commit on the link of a
 * new decider.
 */
const MAX_CONCURRENT_READS = 3
/** Bytes of a page: a fifth of a second on the slowest links. Small rows come in larger pages, since each page takes a call. */
const PAGE_BYTES = 40_000

/** State of the jobs as read from the store. */
export interface RecoveredState {
  /** Open jobs to hold, in order of their submission. */
  jobs: SelectedJob[]
  /** Final phases of the jobs that have ended and have no runs, by id. */
  ended: Map<string, EndedPhase>
  /** Ids of cancelled jobs. */
  cancelled: Set<string>
  /** Jobs of organisations, open or ended, whose submissions are not yet archived, by id. */
  metered: Map<string, MeteredJob>
  /** Version of the store after which to follow changes of submissions. */
  version: number
}

/** Options of a recovery. */
export interface RecoveryOptions {
  store: RecordStore
  clock: Clock
  log: Log
  /** Bytes of the jobs to hold; jobs with runs are held in any case. */
  room: number
  /** Returns the priority of a job's route; 0 is the most urgent. */
  priorityOf: (recorded: RecordedJob) => number
  /** Receives each job that is left in the store. */
  onDeferred: (job: DeferredJob) => void
  /** Returns whether a job is known already and is to be left out. */
  isKnown?: (id: string) => boolean
}

/** Reads the records left by a former decider, page by page, and holds no more of them than there is room for. */
export class Recovery {
  private readonly state: RecoveredState = { jobs: [], cancelled: new Set(), metered: new Map(), ended: new Map(), version: Infinity }
  private readonly selection: JobSelection
  /** Records of open jobs that have started, by id; `undefined` for one that is to be read again. */
  private readonly records = new Map<string, StoredRecord | undefined>()
  /** Rows of records that have pages. */
  private readonly pagedRows: Row[] = []
  /** Characters of the records that are kept and have no runs. */
  private recordChars = 0

  constructor (private readonly options: RecoveryOptions) {
    this.selection = new JobSelection(options)
  }

  /**
   * Reads the records, with retries until it succeeds.
   *
   * @param isAbandoned - returns whether the result is no longer needed
   * @returns the recovered state, or `undefined` if the recovery was abandoned
   */
  async read (isAbandoned: () => boolean): Promise<RecoveredState | undefined> {
    // Records are read before submissions, so that for each job whose record is read the submission is read too.
    await this.readPart(RECORDS.table, RECORDS.part, isAbandoned, rows => { for (const row of rows) this.addRow(row) }, MAX_CONCURRENT_READS * PAGE_BYTES)
    await this.readPagedRecords(isAbandoned)
    await this.readSubmissions(isAbandoned)
    if (isAbandoned()) return undefined
    this.state.jobs = this.selection.selected
    return this.state
  }

  private async readSubmissions (isAbandoned: () => boolean): Promise<void> {
    const remaining = [...submissionParts]
    const readNext = async (): Promise<void> => {
      for (let part = remaining.shift(); part !== undefined; part = remaining.shift()) {
        const version = await this.readPart('jobs', part, isAbandoned, rows => { this.addSubmissions(rows) })
        this.state.version = Math.min(this.state.version, version ?? Infinity)
      }
    }
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readNext))
  }

  private async readPart (table: string, part: string, isAbandoned: () => boolean, onPage: (rows: Row[]) => void, pageBytes = PAGE_BYTES): Promise<number | undefined> {
    const { store, clock } = this.options
    const retry = async (): Promise<boolean> => {
      if (isAbandoned()) return false
      await clock.sleep(RETRY_DELAY_MS)
      return !isAbandoned()
    }
    return (await readPages(store, { table, part }, onPage, { retry, pageBytes })).unwrapOr(undefined)
  }

  private addSubmissions (rows: Row[]): void {
    const { log, isKnown } = this.options
    const { ended, cancelled, metered } = this.state
    const { jobs, cancelled: ids } = partitionSubmissions(rows, log)
    for (const id of ids) if (!ended.has(id)) cancelled.add(id)
    for (const recorded of jobs) {
      const { id, organisation, organisationTerms, acceptedAt } = recorded.job
      if (organisation !== undefined) metered.set(id, { id, organisation, organisationTerms, acceptedAt })
      if (ended.has(id) || isKnown?.(id) === true) continue
      const stored = this.records.get(id)
      this.selection.add(recorded, { stored, isStarted: this.records.has(id), hasRuns: stored !== undefined && hasRecordedRuns(stored.record) })
      this.records.delete(id)
    }
  }

  private addRow (row: Row): void {
    try {
      const stored = decodeRecordRow(row)
      if (stored === undefined) this.pagedRows.push(row)
      else this.addRecord(row.key, stored)
    } catch (error) {
      this.options.log.write(CELL_EVENTS.badRow, { key: row.key, problem: String(error) })
    }
  }

  private async readPagedRecords (isAbandoned: () => boolean): Promise<void> {
    const { store, clock, log, isKnown } = this.options
    for (const row of this.pagedRows) {
      // The record of a job that is held may change between the reads.
      if (isKnown?.(row.key) === true) continue
      let stored = await readRecord(store, row)
      while (stored.isErr() && stored.error.code !== 'unreadable' && !isAbandoned()) {
        await clock.sleep(RETRY_DELAY_MS)
        stored = await readRecord(store, row)
      }
      if (isAbandoned()) return
      if (stored.isOk()) this.addRecord(row.key, stored.value)
      else log.write(CELL_EVENTS.badRow, { key: row.key, problem: stored.error.reason })
    }
  }

  private addRecord (id: string, stored: StoredRecord): void {
    const { phase, tasks } = stored.record
    if (phase !== 'open' && tasks === undefined) this.state.ended.set(id, phase)
    else this.records.set(id, this.mayKeep(stored) ? stored : undefined)
  }

  private mayKeep ({ record, length }: StoredRecord): boolean {
    if (hasRecordedRuns(record)) return true
    this.recordChars += length
    return this.recordChars <= this.options.room
  }
}
