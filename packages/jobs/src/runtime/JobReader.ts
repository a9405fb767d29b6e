import { Ok } from '@rattanstep/core'
import type { Result, Row, TableError } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { JobStatus, JobSummary, TaskStatus } from '../types/job.js'
import { JOB_ROW, jobKey, TASK_ROW } from '../types/rows.js'
import type { JobRow, TaskRow } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'

const MAX_LISTED_JOBS = 1000

/** Reads the status of jobs from the table. */
export class JobReader {
  private readonly context: Context

  /** @param context - table, tuning and log */
  constructor (context: Context) {
    this.context = context
  }

  /**
   * @param id - identifier of a job
   * @returns status of the job and its tasks, `null` when there is no such job, or the error of the table
   */
  async status (id: string): Promise<Result<JobStatus | null, TableError>> {
    const { table, tuning } = this.context
    const jobs = await table.read([jobKey(id)])
    if (jobs.isErr()) return jobs
    const tasks = await table.list({ prefix: `task/${id}/`, limit: tuning.maxTasksPerJob })
    if (tasks.isErr()) return tasks
    const job = this.parseJob(jobs.value[0])
    if (job === null) return Ok(null)
    return Ok({ ...summarizeJob(job), tasks: tasks.value.flatMap(row => this.parseTask(row)) })
  }

  /**
   * @param range - `after`: list only identifiers after this one; `limit`: maximum number of jobs (default and maximum 1000)
   * @returns jobs in the order of their identifiers, including ended jobs, or the error of the table
   */
  async list (range: { after?: string, limit?: number } = {}): Promise<Result<JobSummary[], TableError>> {
    const after = range.after === undefined ? undefined : jobKey(range.after)
    const rows = await this.context.table.list({ prefix: jobKey(''), after, limit: Math.min(range.limit ?? MAX_LISTED_JOBS, MAX_LISTED_JOBS) })
    return rows.map(found => found.flatMap(row => {
      const job = this.parseJob(row)
      return job === null ? [] : [summarizeJob(job)]
    }))
  }

  private parseJob (row: Row | undefined): JobRow | null {
    if (row === undefined) return null
    const content = parseRow(row, JOB_ROW)
    if (content.isOk()) return content.value
    this.context.log.write(EVENTS.badRow, { key: row.key, problem: content.error })
    return null
  }

  private parseTask (row: Row): TaskStatus[] {
    const content = parseRow(row, TASK_ROW)
    if (content.isOk()) return [summarizeTask(content.value)]
    this.context.log.write(EVENTS.badRow, { key: row.key, problem: content.error })
    return []
  }
}

function summarizeJob (job: JobRow): JobSummary {
  const { id, kind, team, state, reason } = job
  return { id, kind, class: job.class, team, state, reason }
}

function summarizeTask (task: TaskRow): TaskStatus {
  const { index, state, worker, fence, attempts, reason } = task
  return { index, state, worker, fence, attempts, reason }
}
