import type { Clock, Timer } from '@rattanstep/core'
import { SLOW_COMMIT_MS } from '../types/limits.js'
import type { RecordStore, Row, RowName, TransactionOutcome } from '../types/records.js'

/** Rows in one transaction: each may take three of the 100 entries. */
const MAX_ROWS_PER_TRANSACTION = 33
/** ms between attempts after one that was not carried out, at first and at most: it doubles. */
const RETRY_DELAY_MS = 60
const MAX_RETRY_DELAY_MS = 240
/** ms between attempts while the store is busy: a part works off a second of waiting work. */
const BUSY_RETRY_DELAY_MS = 200
/** ms after the store was too busy for a write in which it counts as slow: a part then has a second of work waiting. */
const BUSY_MEMORY_MS = 1000

/** What is known of a write. `busy`: nothing was written, and the store takes it sooner if fewer nodes write. */
export type WriteOutcome = 'done' | 'repeated' | 'refused' | 'busy' | 'unknown'

/** A row to be written. */
export interface SubmissionRow {
  name: RowName
  value: string
  /** Rows that must not exist: the row itself, and the one that follows when the job has ended. */
  absent: RowName[]
}

interface PendingWrite {
  row: SubmissionRow
  /** An attempt had no answer, so the row may be written already. */
  maybeWritten: boolean
  isSending: boolean
  /** Tries again while the store is busy; the node that writes for all has no one to turn to. */
  retryWhenBusy: boolean
  resolve: (outcome: WriteOutcome) => void
  timer: Timer
}

interface PartQueue {
  queue: PendingWrite[]
  sentAt: number | undefined
  /** ms until the next attempt, should this one fail. */
  retryDelay: number
}

/** Writes hand-ins and cancellations: one transaction at a time for each part, with all that wait. */
export class SubmissionWriter {
  private readonly parts = new Map<string, PartQueue>()
  private lastDuration = 0
  private busyAt = -Infinity

  constructor (private readonly options: { store: RecordStore, clock: Clock }) {}

  /** @returns whether writes take so long that they should share transactions with those of other nodes */
  get isSlow (): boolean {
    const now = this.options.clock.now()
    if (now - this.busyAt < BUSY_MEMORY_MS) return true
    let duration = this.lastDuration
    for (const { sentAt } of this.parts.values()) if (sentAt !== undefined) duration = Math.max(duration, now - sentAt)
    return duration > SLOW_COMMIT_MS
  }

  /**
   * @param row - what to write
   * @param deadline - monotonic ms by which the outcome is wanted
   * @param options - `persistent`: try again while the store is busy
   * @returns what is known then
   */
  async write (row: SubmissionRow, deadline: number, { persistent: retryWhenBusy = false } = {}): Promise<WriteOutcome> {
    const { clock } = this.options
    let part = this.parts.get(row.name.part)
    if (part === undefined) this.parts.set(row.name.part, part = { queue: [], sentAt: undefined, retryDelay: RETRY_DELAY_MS })
    const { queue } = part
    return await new Promise<WriteOutcome>(resolve => {
      const item: PendingWrite = { row, maybeWritten: false, isSending: false, retryWhenBusy, resolve, timer: clock.schedule(Math.max(0, deadline - clock.now()), () => { this.expire(part, item) }) }
      queue.push(item)
      if (part.sentAt === undefined) this.flush(part)
    })
  }

  private flush (part: PartQueue): void {
    const batch = part.queue.slice(0, MAX_ROWS_PER_TRANSACTION)
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

  private handleOutcome (part: PartQueue, batch: PendingWrite[], outcome: TransactionOutcome): void {
    switch (outcome.kind) {
      case 'done': return this.settleAll(part, batch, 'done')
      case 'conflict': return this.handleConflict(part, batch, outcome.rows)
      case 'unknown':
        for (const item of batch) item.maybeWritten = true
        return
      // Once an attempt may have been carried out, a refusal of another says nothing about it.
      case 'busy':
        this.busyAt = this.options.clock.now()
        return this.settleAll(part, batch.filter(item => !item.maybeWritten && !item.retryWhenBusy), 'busy')
      case 'refused': return this.settleAll(part, batch.filter(item => !item.maybeWritten), 'refused')
    }
  }

  private settleAll (part: PartQueue, items: PendingWrite[], outcome: WriteOutcome): void {
    for (const item of items) this.settle(part, item, outcome)
  }

  private scheduleNext (part: PartQueue, delay: number): void {
    part.sentAt = undefined
    if (part.queue.length === 0) return
    if (delay === 0) return this.flush(part)
    this.options.clock.schedule(delay, () => { if (part.sentAt === undefined) this.flush(part) })
  }

  private handleConflict (part: PartQueue, batch: PendingWrite[], rows: Row[]): void {
    const present = new Set(rows.filter(row => row.version > 0).map(row => row.key))
    for (const item of batch) {
      if (item.row.absent.some(name => present.has(name.key))) this.settle(part, item, item.maybeWritten ? 'done' : 'repeated')
    }
  }

  private expire (part: PartQueue, item: PendingWrite): void {
    this.settle(part, item, item.maybeWritten || item.isSending ? 'unknown' : 'refused')
  }

  private settle (part: PartQueue, item: PendingWrite, outcome: WriteOutcome): void {
    item.timer.cancel()
    const index = part.queue.indexOf(item)
    if (index >= 0) part.queue.splice(index, 1)
    item.resolve(outcome)
  }
}

function delayAfter (part: PartQueue, { kind }: TransactionOutcome): number {
  const { retryDelay } = part
  const wasExecuted = kind === 'done' || kind === 'conflict'
  part.retryDelay = wasExecuted ? RETRY_DELAY_MS : Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelay)
  if (wasExecuted) return 0
  return kind === 'busy' ? BUSY_RETRY_DELAY_MS : retryDelay
}
