import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Job } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { CELL_EVENTS } from '../types/events.js'
import { readHandIn } from './handInRow.js'
import type { EndedPhase } from './Book.js'
import type { JobRecord } from './jobRecord.js'
import { CANCELLED, handInParts } from './parts.js'

/** ms between attempts to read. */
const RETRY_DELAY = 100

/** What the store holds of the jobs. */
export interface Found {
  jobs: Job[]
  /** Jobs that have ended and of which nothing runs. */
  ended: Map<string, EndedPhase>
  cancelled: string[]
  records: Map<string, JobRecord>
  /** Version from which changes of hand-ins are to be followed. */
  version: number
}

/** Reads what a former decider has left. */
export class Recovery {
  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log }) {}

  /**
   * @param abandoned - says when the result is no longer wanted
   * @returns all jobs, or `undefined` when abandoned
   */
  async read (abandoned: () => boolean): Promise<Found | undefined> {
    // Records before hand-ins: a job whose record is read has its hand-in read as well.
    const records = await this.readPart('tasks', 'd', abandoned)
    const parts = await Promise.all(handInParts.map(async part => await this.readPart('jobs', part, abandoned)))
    if (records === undefined || parts.some(part => part === undefined)) return undefined
    const found: Found = { jobs: [], ended: new Map(), cancelled: [], records: new Map(), version: Math.min(...parts.map(part => part!.version)) }
    for (const row of records.rows) this.takeRecord(row, found)
    for (const row of parts.flatMap(part => part!.rows)) if (!found.ended.has(row.key)) this.takeHandIn(row, found)
    found.jobs.sort((a, b) => a.acceptedAt - b.acceptedAt)
    return found
  }

  private async readPart (table: string, part: string, abandoned: () => boolean): Promise<{ rows: Row[], version: number } | undefined> {
    while (!abandoned()) {
      const answer = await this.options.store.range({ table, part })
      if (answer.isOk()) return answer.value
      await this.options.clock.sleep(RETRY_DELAY)
    }
    return undefined
  }

  private takeHandIn (row: Row, found: Found): void {
    if (row.key.endsWith(CANCELLED)) {
      found.cancelled.push(row.key.slice(0, -CANCELLED.length))
      return
    }
    const job = readHandIn(row.value)
    if (job.isOk()) found.jobs.push(job.value)
    else this.options.log.write(CELL_EVENTS.badRow, { key: row.key, problem: job.error })
  }

  private takeRecord (row: Row, found: Found): void {
    try {
      const record = JSON.parse(row.value) as JobRecord
      if (record.phase !== 'open' && record.tasks === undefined) found.ended.set(row.key, record.phase)
      else found.records.set(row.key, record)
    } catch (error) {
      this.options.log.write(CELL_EVENTS.badRow, { key: row.key, problem: String(error) })
    }
  }
}
