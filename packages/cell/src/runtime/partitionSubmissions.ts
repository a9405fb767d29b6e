import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { RecordedJob } from '../types/job.js'
import type { Row } from '../types/records.js'
import { decodeSubmission } from './submissionRow.js'
import { CANCELLATION_SUFFIX } from './rowNames.js'

/**
 * Separates submitted jobs from cancellations. Rows that can't be decoded are logged and left out.
 *
 * @param rows - rows of the table of submissions
 * @param log - receives the rows that can't be decoded
 * @returns the submitted jobs, and the ids of cancelled jobs
 */
export function partitionSubmissions (rows: Row[], log: Log): { jobs: RecordedJob[], cancelled: string[] } {
  const jobs: RecordedJob[] = []
  const cancelled: string[] = []
  for (const row of rows) {
    if (row.key.endsWith(CANCELLATION_SUFFIX)) {
      cancelled.push(row.key.slice(0, -CANCELLATION_SUFFIX.length))
      continue
    }
    const job = decodeSubmission(row.value)
    if (job.isOk()) jobs.push({ job: job.value, version: row.version })
    else log.write(CELL_EVENTS.badRow, { key: row.key, problem: job.error })
  }
  return { jobs, cancelled }
}
