import type { Clock, Timer } from '@rattanstep/core'
import { SLOW_COMMIT_MS } from '../types/limits.js'
import type { RecordStore, Row, RowName, TransactionOutcome } from '../types/records.js'
import { WITHDRAWN } from './rowNames.js'

/** Each row may use three of a transaction's 100 entries. */
const MAX_ROWS_PER_TRANSACTION = 33
/** Delay before the first retry of a transaction that was not carried out; it doubles with every further retry up to the maximum. */
const RETRY_DELAY_MS = 60
const MAX_RETRY_DELAY_MS = 240
/** Delay between attempts while the store is busy: a busy part has a second of queued work to complete. */
const BUSY_RETRY_DELAY_MS = 200
/** Time for which the store counts as slow after it was too busy for a write: the part then has a second of queued work. */
const SLOW_AFTER_BUSY_MS = 1000

/**
 * Outcome of a write, as far as it is known. `repeated`: a row that must not exist was present; `withdrawn`: the job was cancelled before it was
 * submitted; `busy`: nothing was written, and the store is likely to accept the write sooner if fewer nodes write.
 */
export type WriteOutcome = 'done' | 'repeated' | 'withdrawn' | 'refused' | 'busy' | 'unknown'

/** Result of a write; `version`: version of the row that is on record; `rejected`: the store will never accept the row. */
export type WriteResult = { outcome: 'done', version: number } | { outcome: Exclude<WriteOutcome, 'done'> | 'rejected' }

/** A row to write for a submission, a cancellation or a withdrawal. */
export interface SubmissionRow {
  name: RowName
  value: string
  /** Rows that must not exist, all in the row's part. */
  absent: RowName[]
}

interface PendingWrite {
  row: SubmissionRow
  /** Whether an attempt got no answer, so that the row may have been written. */
  maybeWritten: boolean
  isSending: boolean
  /** Whether the row was in a transaction that was rejected, and is therefore written alone. */
  isAlone: boolean
  /** Whether to retry while the store is busy. The node that writes for all others has no other node to forward the write to. */
  retryWhenBusy: boolean
  resolve: (result: WriteResult) => void
  timer: Timer
}

interface PartQueue {
  queue: PendingWrite[]
  sentAt: number | undefined
  /** Delay in ms before the next attempt, if this one fails. */
  retryDelay: number
}

/** Writes submissions, cancellations and withdrawals. Each part has one transaction in flight at a time; the next one contains all rows that wait. */
export class SubmissionWriter {
  private readonly parts = new Map<string, PartQueue>()
  private lastDuration = 0
  private busyAt = -Infinity

  private waiting = 0

  /** @param options - `maxWaiting`: number of writes that may wait, above which further ones are `busy`; `onFull`: called for each of these */
  constructor (private readonly options: { store: RecordStore, clock: Clock, maxWaiting?: number, onFull?: () => void }) {}

  /** @returns whether writes are so slow that this node should forward them, to share transactions with other nodes */
  get isSlow (): boolean {
    const now = this.options.clock.now()
    if (now - this.busyAt < SLOW_AFTER_BUSY_MS) return true
    let duration = this.lastDuration
    for (const { sentAt } of this.parts.values()) if (sentAt !== undefined) duration = Math.max(duration, now - sentAt)
    return duration > SLOW_COMMIT_MS
  }

  /**
   * @param row - row to write
   * @param deadline - time by which the outcome is needed, in monotonic ms
   * @param options - `retryWhenBusy`: whether to retry while the store is busy
   * @returns the result, as far as it is known by the deadline
   */
  async write (row: SubmissionRow, deadline: number, { retryWhenBusy = false } = {}): Promise<WriteResult> {
    const { clock, maxWaiting = Infinity, onFull } = this.options
    if (this.waiting >= maxWaiting) {
      onFull?.()
      return { outcome: 'busy' }
    }
    let part = this.parts.get(row.name.part)
    if (part === undefined) this.parts.set(row.name.part, part = { queue: [], sentAt: undefined, retryDelay: RETRY_DELAY_MS })
    const { queue } = part
    return await new Promise<WriteResult>(resolve => {
      const item: PendingWrite = { row, maybeWritten: false, isSending: false, isAlone: false, retryWhenBusy, resolve, timer: clock.schedule(Math.max(0, deadline - clock.now()), () => { this.expire(part, item) }) }
      queue.push(item)
      this.waiting++
      if (part.sentAt === undefined) this.flush(part)
    })
  }

  private flush (part: PartQueue): void {
    const batch = this.takeBatch(part)
    if (batch.length === 0) return
    const { store, clock } = this.options
    const sentAt = clock.now()
    part.sentAt = sentAt
    for (const item of batch) item.isSending = true
    store.commit({
      expect: batch.flatMap(item => item.row.absent.map(name => ({ ...name, version: 0 }))),
      puts: batch.map(item => ({ ...item.row.name, value: item.row.value }))
    }).then(outcome => {
      this.lastDuration = clock.now() - sentAt
      for (const item of batch) item.isSending = false
      this.handleOutcome(part, batch, outcome)
      this.scheduleNext(part, delayAfter(part, outcome))
    }, () => { this.scheduleNext(part, RETRY_DELAY_MS) })
  }

  /**
   * Takes the writes of the next transaction: as many of those that wait longest as it can hold, or one that is written alone. Of writes that name the same
   * row, only the first is taken: expectations hold against the store, and not among the rows of one transaction.
   */
  private takeBatch ({ queue }: PartQueue): PendingWrite[] {
    const { transactionBytes } = this.options.store.limits
    const batch: PendingWrite[] = []
    const named = new Set<string>()
    let bytes = 0
    for (const item of queue) {
      if (batch.length >= MAX_ROWS_PER_TRANSACTION) return batch
      const names = [item.row.name, ...item.row.absent].map(({ table, key }) => `${table}/${key}`)
      const isFirst = !names.some(name => named.has(name))
      for (const name of names) named.add(name)
      if (!isFirst || (batch.length > 0 && item.isAlone)) continue
      bytes += Buffer.byteLength(item.row.value)
      if (batch.length > 0 && bytes > transactionBytes) return batch
      batch.push(item)
      if (item.isAlone) return batch
    }
    return batch
  }

  private handleOutcome (part: PartQueue, batch: PendingWrite[], outcome: TransactionOutcome): void {
    switch (outcome.kind) {
      case 'done': return this.resolveWrites(part, batch, { outcome: 'done', version: outcome.version })
      case 'conflict': return this.handleConflict(part, batch, outcome.rows)
      case 'unknown':
        for (const item of batch) item.maybeWritten = true
        return
      // If an earlier attempt may have been carried out, the refusal of this one doesn't settle the outcome.
      case 'busy':
        this.busyAt = this.options.clock.now()
        return this.resolveWrites(part, batch.filter(item => !item.maybeWritten && !item.retryWhenBusy), { outcome: 'busy' })
      case 'rejected': return this.handleRejection(part, batch)
      case 'refused': return this.resolveWrites(part, batch.filter(item => !item.maybeWritten), { outcome: 'refused' })
    }
  }

  /** Has the rows of a rejected transaction written one by one, so that one that the store doesn't accept fails no other. */
  private handleRejection (part: PartQueue, batch: PendingWrite[]): void {
    const [item] = batch
    if (batch.length > 1) for (const each of batch) each.isAlone = true
    else if (item !== undefined) this.resolveWrite(part, item, { outcome: item.maybeWritten ? 'unknown' : 'rejected' })
  }

  private resolveWrites (part: PartQueue, items: PendingWrite[], result: WriteResult): void {
    for (const item of items) this.resolveWrite(part, item, result)
  }

  private scheduleNext (part: PartQueue, delay: number): void {
    part.sentAt = undefined
    if (part.queue.length === 0) return
    if (delay === 0) return this.flush(part)
    this.options.clock.schedule(delay, () => { if (part.sentAt === undefined) this.flush(part) })
  }

  private handleConflict (part: PartQueue, batch: PendingWrite[], rows: Row[]): void {
    for (const item of batch) {
      const present = rows.find(row => row.version > 0 && item.row.absent.some(name => isSameRow(name, row)))
      if (present === undefined) continue
      const isOwnRow = item.maybeWritten && isSameRow(item.row.name, present) && item.row.value === present.value
      this.resolveWrite(part, item, isOwnRow ? { outcome: 'done', version: present.version } : { outcome: present.value === WITHDRAWN ? 'withdrawn' : 'repeated' })
    }
  }

  private expire (part: PartQueue, item: PendingWrite): void {
    this.resolveWrite(part, item, { outcome: item.maybeWritten || item.isSending ? 'unknown' : 'refused' })
  }

  private resolveWrite (part: PartQueue, item: PendingWrite, result: WriteResult): void {
    item.timer.cancel()
    const index = part.queue.indexOf(item)
    if (index >= 0) {
      part.queue.splice(index, 1)
      this.waiting--
    }
    item.resolve(result)
  }
}

function isSameRow (a: RowName, b: RowName): boolean {
  return a.table === b.table && a.part === b.part && a.key === b.key
}

function delayAfter (part: PartQueue, { kind }: TransactionOutcome): number {
  const { retryDelay } = part
  const isFinal = kind === 'done' || kind === 'conflict' || kind === 'rejected'
  part.retryDelay = isFinal ? RETRY_DELAY_MS : Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelay)
  if (isFinal) return 0
  return kind === 'busy' ? BUSY_RETRY_DELAY_MS : retryDelay
}
