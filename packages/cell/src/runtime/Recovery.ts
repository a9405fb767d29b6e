import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Job } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { CELL_EVENTS } from '../types/events.js'
import type { EndedPhase } from './Registry.js'
import type { JobRecord } from './jobRecord.js'
import { submissionParts } from './rowNames.js'
import { partitionSubmissions } from './partitionSubmissions.js'

/** ms between attempts to read. */
const RETRY_DELAY_MS = 100

/** What the store holds of the jobs. */
export interface RecoveredState {
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
   * @param isAbandoned - says when the result is no longer wanted
   * @returns all jobs, or `undefined` when abandoned
   */
  async read (isAbandoned: () => boolean): Promise<RecoveredState | undefined> {
    // Records before hand-ins: a job whose record is read has its hand-in read as well.
    const records = await this.readPart('tasks', 'd', isAbandoned)
    const parts = await Promise.all(submissionParts.map(async part => await this.readPart('jobs', part, isAbandoned)))
    if (records === undefined || parts.some(part => part === undefined)) return undefined
    const state: RecoveredState = { jobs: [], cancelled: [], ended: new Map(), records: new Map(), version: Math.min(...parts.map(part => part!.version)) }
    for (const row of records.rows) this.addRecord(row, state)
    const open = parts.flatMap(part => part!.rows).filter(row => !state.ended.has(row.key))
    Object.assign(state, partitionSubmissions(open, this.options.log))
    state.jobs.sort((a, b) => a.acceptedAt - b.acceptedAt)
    return state
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
