import type { RowName, StoreLimits } from '../types/records.js'
import type { RecordChange } from './Recorder.js'
import { recordPageName, splitRecord } from './recordRows.js'
import type { RecordRow } from './recordRows.js'
import { recordRowName } from './rowNames.js'

/** Rows of one record to write and to delete. */
export interface RecordRowChange {
  puts: RecordRow[]
  deletes: RowName[]
  /** Bytes of the values. */
  bytes: number
}

/** Tracks the pages of records in the store, so that each change also deletes the pages that the record no longer needs. */
export class RecordPages {
  /** Number of pages that may be on record, by id of the job; absent if there are none. */
  private readonly stored = new Map<string, number>()
  /** Number of pages after the transaction in flight, by id of the job. */
  private readonly sent = new Map<string, number>()

  /** Notes the pages of a record that was read. */
  note (id: string, pages: number): void {
    if (pages > 0) this.stored.set(id, pages)
  }

  /**
   * @param id - id of a job
   * @param change - change of its record
   * @param limits - limits of the store
   * @returns the rows to change in one transaction
   */
  rowsOf (id: string, change: RecordChange, { rowBytes }: StoreLimits): RecordRowChange {
    const puts = change.kind === 'put' ? splitRecord(id, change.value, rowBytes) : []
    const pages = Math.max(0, puts.length - 1)
    const stored = this.stored.get(id) ?? 0
    const deletes = Array.from({ length: Math.max(0, stored - pages) }, (_, index) => recordPageName(id, pages + index))
    if (change.kind === 'delete') deletes.push(recordRowName(id))
    // The transaction may be carried out without an answer.
    if (pages > stored) this.stored.set(id, pages)
    if (stored > 0 || pages > 0) this.sent.set(id, pages)
    return { puts, deletes, bytes: puts.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0) }
  }

  /** Notes that the last change of a record has been carried out. */
  confirm (id: string): void {
    const pages = this.sent.get(id)
    if (pages === undefined) return
    this.sent.delete(id)
    if (pages === 0) this.stored.delete(id)
    else this.stored.set(id, pages)
  }
}
