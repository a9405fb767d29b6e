import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Job, RecordedJob } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { CELL_EVENTS } from '../types/events.js'
import type { EndedPhase } from './Registry.js'
import type { JobRecord } from './jobRecord.js'
import { submissionParts } from './rowNames.js'
import { decodeSubmission } from './submissionRow.js'
import { partitionSubmissions } from './partitionSubmissions.js'

/** Delay between attempts while the store does not answer. */
const RETRY_DELAY_MS = 100

/**
 * Maximum number of parts that are read at the same time. With their pages, this much stands before every heartbeat and commit on the link of a
 * new decider.
 */
const MAX_CONCURRENT_READS = 3

/** State of the jobs as read from the store. */
export interface RecoveredState {
  jobs: RecordedJob[]
  /** Final phases of the jobs that have ended and have no runs, by id. */
  ended: Map<string, EndedPhase>
  cancelled: string[]
  /** Jobs of organisations that have ended and whose submissions are not yet archived, in order of their submission. */
  endedJobs: Job[]
  records: Map<string, JobRecord>
  /** Version of the store after which to follow changes of submissions. */
  version: number
}

/** Reads the records left by a former decider. */
export class Recovery {
  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log }) {}

  /**
   * Reads the records, with retries until it succeeds.
   *
   * @param isAbandoned - returns whether the result is no longer needed
   * @returns the recovered state, or `undefined` if the recovery was abandoned
   */
  async read (isAbandoned: () => boolean): Promise<RecoveredState | undefined> {
    // Records are read before submissions, so that for each job whose record is read the submission is read too.
    const records = await this.readPart('tasks', 'd', isAbandoned)
    const parts = await this.readSubmissions(isAbandoned)
    if (records === undefined || parts.some(part => part === undefined)) return undefined
    const state: RecoveredState = { jobs: [], cancelled: [], endedJobs: [], ended: new Map(), records: new Map(), version: Math.min(...parts.map(part => part!.version)) }
    for (const row of records.rows) this.addRecord(row, state)
    const rows = parts.flatMap(part => part!.rows)
    Object.assign(state, partitionSubmissions(rows.filter(row => !state.ended.has(row.key)), this.options.log))
    state.jobs.sort((a, b) => a.job.acceptedAt - b.job.acceptedAt)
    state.endedJobs = rows.filter(row => state.ended.has(row.key)).flatMap(row => decodeSubmission(row.value).map(job => [job]).unwrapOr([]))
      .filter(job => job.organisation !== undefined).sort((a, b) => a.acceptedAt - b.acceptedAt)
    return state
  }

  private async readSubmissions (isAbandoned: () => boolean): Promise<Array<{ rows: Row[], version: number } | undefined>> {
    const read: Array<{ rows: Row[], version: number } | undefined> = []
    const remaining = [...submissionParts]
    const readNext = async (): Promise<void> => {
      for (let part = remaining.shift(); part !== undefined; part = remaining.shift()) read.push(await this.readPart('jobs', part, isAbandoned))
    }
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readNext))
    return read
  }

  private async readPart (table: string, part: string, isAbandoned: () => boolean): Promise<{ rows: Row[], version: number } | undefined> {
    while (!isAbandoned()) {
      const answer = await this.options.store.range({ table, part })
      if (answer.isOk()) return answer.value
      await this.options.clock.sleep(RETRY_DELAY_MS)
    }
    return undefined
  }

  private addRecord (row: Row, state: RecoveredState): void {
    try {
      const record = JSON.parse(row.value) as JobRecord
      if (record.phase !== 'open' && record.tasks === undefined) state.ended.set(row.key, record.phase)
      else state.records.set(row.key, record)
    } catch (error) {
      this.options.log.write(CELL_EVENTS.badRow, { key: row.key, problem: String(error) })
    }
  }
}
