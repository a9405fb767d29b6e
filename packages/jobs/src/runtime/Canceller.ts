import { Err, Ok } from '@rattanstep/core'
import type { Result, Row, TableError } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { JobSummary } from '../types/job.js'
import { JOB_ROW, jobKey } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import { JOB_CHART } from './Driver.js'
import type { Messenger } from './Messenger.js'
import type { TableWriter } from './TableWriter.js'

/** Result of a cancellation: the job, `null` when there is no such job, or the error of the table. */
export type CancelResult = Result<JobSummary | null, TableError>

interface PendingCancellation {
  id: string
  resolve: (result: CancelResult) => void
}

/** Time for which cancellations are collected into one batch. */
const BATCH_WINDOW_MS = 20
const MAX_KEYS_PER_READ = 200

/** Marks jobs for cancellation. Cancellations that arrive close together share reads and transactions. */
export class Canceller {
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly messenger: Messenger
  private pending: PendingCancellation[] = []

  /** @param options - table writer, and messenger that notifies drivers */
  constructor (options: { context: Context, writer: TableWriter, messenger: Messenger }) {
    this.context = options.context
    this.writer = options.writer
    this.messenger = options.messenger
  }

  /**
   * @param id - identifier of a job
   * @returns the job after the cancellation, `null` when there is no such job, or the error of the table; a job that has
   * ended is returned unchanged
   */
  async cancel (id: string): Promise<CancelResult> {
    return await new Promise(resolve => {
      this.pending.push({ id, resolve })
      if (this.pending.length === 1) this.context.clock.schedule(BATCH_WINDOW_MS, () => { this.flush() })
    })
  }

  private flush (): void {
    const batch = this.pending
    this.pending = []
    for (let from = 0; from < batch.length; from += MAX_KEYS_PER_READ) {
      const chunk = batch.slice(from, from + MAX_KEYS_PER_READ)
      this.writeBatch(chunk).catch((error: unknown) => {
        this.context.log.write(EVENTS.fault, { step: 'cancel', error: String(error) })
        for (const entry of chunk) entry.resolve(Err({ fault: 'unknown', message: String(error) }))
      })
    }
  }

  private async writeBatch (batch: PendingCancellation[]): Promise<void> {
    const ids = [...new Set(batch.map(entry => entry.id))]
    const rows = await this.context.table.read(ids.map(jobKey))
    if (rows.isErr()) {
      for (const entry of batch) entry.resolve(rows)
      return
    }
    const found = new Map(rows.value.map(row => [row.key, row]))
    const results = new Map<string, CancelResult>()
    await Promise.all(ids.map(async id => { results.set(id, await this.writeOne(found.get(jobKey(id)))) }))
    this.messenger.notifyDrivers([...results].flatMap(([id, result]) => result.isOk() && result.value?.state === 'cancelling' ? [id] : []))
    for (const entry of batch) entry.resolve(results.get(entry.id) ?? Ok(null))
  }

  private async writeOne (row: Row | undefined): Promise<CancelResult> {
    if (row === undefined) return Ok(null)
    const content = parseRow(row, JOB_ROW)
    if (content.isErr()) return Err({ fault: 'unavailable', message: `row ${row.key} does not match its schema: ${content.error}` })
    const state = JOB_CHART.next(content.value.state, 'cancel')
    const { id, kind, team, reason } = content.value
    const summary: JobSummary = { id, kind, class: content.value.class, team, state: state ?? content.value.state, reason }
    if (state === null) return Ok(summary)
    const change = { checks: [{ key: row.key, version: row.version }], writes: [{ key: row.key, value: JSON.stringify({ ...content.value, state }) }] }
    const settlement = await this.writer.write(change)
    if (settlement.outcome === 'committed') {
      this.context.log.write(EVENTS.cancelled, { job: id })
      return Ok(summary)
    }
    return Err({ fault: settlement.outcome === 'undecided' ? 'unknown' : settlement.outcome, message: `${settlement.message}; cancel the job again` })
  }
}
