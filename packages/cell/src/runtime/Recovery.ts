import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Job } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { CELL_EVENTS } from '../types/events.js'
import type { EndedPhase } from './Book.js'
import type { JobRecord } from './jobRecord.js'
import { handInParts } from './parts.js'
import { sortHandIns } from './sortHandIns.js'

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
    const found: Found = { jobs: [], cancelled: [], ended: new Map(), records: new Map(), version: Math.min(...parts.map(part => part!.version)) }
    for (const row of records.rows) this.takeRecord(row, found)
    const open = parts.flatMap(part => part!.rows).filter(row => !found.ended.has(row.key))
    Object.assign(found, sortHandIns(open, this.options.log))
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
