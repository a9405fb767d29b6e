import { Err, hash64, Ok } from '@rattanstep/core'
import type { Finding, Result, Row, TableError } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { JobStatus, ResolvedJob } from '../types/job.js'
import { JOB_ROW, jobKey, openKey, taskKey } from '../types/rows.js'
import type { JobRow, TaskRow } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import type { JobReader } from './JobReader.js'
import { resolveJob } from './resolveJob.js'
import type { Change, TableWriter } from './TableWriter.js'

/** Why a job was not accepted: its specification has findings, or the table failed. */
export type JobError =
  | { kind: 'findings', findings: Finding[] }
  | { kind: 'table', error: TableError }

/** Validates submitted jobs and writes their rows. */
export class Submitter {
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly reader: JobReader

  /** @param options - shared dependencies */
  constructor (options: { context: Context, writer: TableWriter, reader: JobReader }) {
    this.context = options.context
    this.writer = options.writer
    this.reader = options.reader
  }

  /**
   * Validates a job and writes its rows. Submitting the same job again has no effect.
   *
   * @param spec - the job specification, not yet validated
   * @returns status of the job, or why it was not accepted; after a table error of fault `unknown` the job may or may not
   * have been accepted
   */
  async submit (spec: unknown): Promise<Result<JobStatus, JobError>> {
    const { classes, log, ownership, tuning } = this.context
    const resolved = resolveJob(spec, { classes: classes(), tuning, cell: ownership.cellWorkers() })
    if (resolved.isErr()) {
      log.write(EVENTS.refused, { job: idOf(spec), findings: resolved.error })
      return Err({ kind: 'findings', findings: resolved.error })
    }
    return await this.accept(resolved.value)
  }

  private async accept (job: ResolvedJob): Promise<Result<JobStatus, JobError>> {
    const fingerprint = hash64(JSON.stringify(job))
    const existing = await this.findRow(job.id)
    if (existing.isErr()) return Err({ kind: 'table', error: existing.error })
    if (existing.value !== undefined) return await this.resolveDuplicate(existing.value, job, fingerprint)
    const settlement = await this.writer.write(this.buildChange(job, fingerprint))
    if (settlement.outcome === 'committed') {
      this.context.log.write(EVENTS.accepted, { job: job.id, kind: job.kind, tasks: job.tasks.length })
      return await this.readStatus(job.id)
    }
    if (settlement.outcome === 'unavailable') return Err({ kind: 'table', error: { fault: 'unavailable', message: settlement.message } })
    const stored = await this.findRow(job.id)
    if (stored.isOk() && stored.value !== undefined) return await this.resolveDuplicate(stored.value, job, fingerprint)
    return Err({ kind: 'table', error: { fault: 'unknown', message: 'the job may have been accepted; submit the same job with the same id again' } })
  }

  private async findRow (id: string): Promise<Result<Row | undefined, TableError>> {
    const rows = await this.context.table.read([jobKey(id)])
    return rows.map(found => found[0])
  }

  private async resolveDuplicate (row: Row, job: ResolvedJob, fingerprint: string): Promise<Result<JobStatus, JobError>> {
    const existing = parseRow(row, JOB_ROW)
    if (existing.isOk() && existing.value.fingerprint === fingerprint) return await this.readStatus(job.id)
    const message = `id ${job.id} is used by another job; choose an id that was never used`
    return Err({ kind: 'findings', findings: [{ code: 'job-id-used', place: { file: 'job', line: 1, column: 1 }, message }] })
  }

  private async readStatus (id: string): Promise<Result<JobStatus, JobError>> {
    const status = await this.reader.status(id)
    if (status.isErr()) return Err({ kind: 'table', error: status.error })
    if (status.value !== null) return Ok(status.value)
    return Err({ kind: 'table', error: { fault: 'unknown', message: 'the row of the job is missing or does not match its schema' } })
  }

  private buildChange (job: ResolvedJob, fingerprint: string): Change {
    const { id, kind, team } = job
    const row: JobRow = { id, kind, class: job.class, team, count: job.tasks.length, submitted: this.context.clock.wall(), fingerprint, state: 'open', reason: '' }
    const writes = [
      { key: jobKey(id), value: JSON.stringify(row) },
      { key: openKey(id), value: JSON.stringify({ class: job.class, submitted: row.submitted }) },
      ...job.tasks.map((_, index) => ({ key: taskKey(id, index), value: JSON.stringify(makeTask(job, index)) }))
    ]
    return { checks: writes.map(({ key }) => ({ key, version: 0 })), writes }
  }
}

function makeTask (job: ResolvedJob, index: number): TaskRow {
  return {
    job: job.id,
    index,
    kind: job.kind,
    class: job.class,
    team: job.team,
    ...job.tasks[index]!,
    state: 'pending',
    fence: 0,
    worker: '',
    attempts: 0,
    losses: 0,
    notBefore: 0,
    checkpoint: '',
    reason: '',
    avoid: []
  }
}

function idOf (spec: unknown): string {
  const id = typeof spec === 'object' && spec !== null && 'id' in spec ? spec.id : ''
  return typeof id === 'string' ? id.slice(0, 64) : ''
}
