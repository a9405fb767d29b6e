import type { Clock, Timer } from '@rattanstep/core'
import { SLOW_COMMIT } from '../types/limits.js'
import type { RecordStore, Row, RowName, TransactionOutcome } from '../types/records.js'

/** Rows in one transaction: each may take three of the 100 entries. */
const ROWS_MAX = 33
/** ms between attempts after one that was not carried out, at first and at most: it doubles. */
const RETRY_DELAY = 60
const RETRY_DELAY_MAX = 240
/** ms between attempts while the store is busy: a part works off a second of waiting work. */
const BUSY_DELAY = 200
/** ms after the store was too busy for a write in which it counts as slow: a part then has a second of work waiting. */
const BUSY_SPAN = 1000

/** What is known of a write. `busy`: nothing was written, and the store takes it sooner if fewer nodes write. */
export type WriteOutcome = 'done' | 'repeated' | 'refused' | 'busy' | 'unknown'

/** A row to be written. */
export interface HandInRow {
  name: RowName
  value: string
  /** Rows that must not exist: the row itself, and the one that follows when the job has ended. */
  absent: RowName[]
}

interface Item {
  row: HandInRow
  /** An attempt had no answer, so the row may be written already. */
  uncertain: boolean
  sending: boolean
  /** Tries again while the store is busy; the node that writes for all has no one to turn to. */
  persistent: boolean
  resolve: (outcome: WriteOutcome) => void
  timer: Timer
}

interface Part {
  queue: Item[]
  sentAt: number | undefined
  /** ms until the next attempt, should this one fail. */
  delay: number
}

/** Writes hand-ins and cancellations: one transaction at a time for each part, with all that wait. */
export class HandInWriter {
  private readonly parts = new Map<string, Part>()
  private lastDuration = 0
  private busyAt = -Infinity

  constructor (private readonly options: { store: RecordStore, clock: Clock }) {}

  /** @returns whether writes take so long that they should share transactions with those of other nodes */
  get slow (): boolean {
    const now = this.options.clock.now()
    if (now - this.busyAt < BUSY_SPAN) return true
    let duration = this.lastDuration
    for (const { sentAt } of this.parts.values()) if (sentAt !== undefined) duration = Math.max(duration, now - sentAt)
    return duration > SLOW_COMMIT
  }

  /**
   * @param row - what to write
   * @param deadline - monotonic ms by which the outcome is wanted
   * @param options - `persistent`: try again while the store is busy
   * @returns what is known then
   */
  async write (row: HandInRow, deadline: number, { persistent = false } = {}): Promise<WriteOutcome> {
    const { clock } = this.options
    let part = this.parts.get(row.name.part)
    if (part === undefined) this.parts.set(row.name.part, part = { queue: [], sentAt: undefined, delay: RETRY_DELAY })
    const { queue } = part
    return await new Promise<WriteOutcome>(resolve => {
      const item: Item = { row, uncertain: false, sending: false, persistent, resolve, timer: clock.schedule(Math.max(0, deadline - clock.now()), () => { this.expire(part, item) }) }
      queue.push(item)
      if (part.sentAt === undefined) this.flush(part)
    })
  }

  private flush (part: Part): void {
    const batch = part.queue.slice(0, ROWS_MAX)
    if (batch.length === 0) return
    const { store, clock } = this.options
    const sentAt = clock.now()
    part.sentAt = sentAt
    for (const item of batch) item.sending = true
    store.commit({
      expect: batch.flatMap(item => item.row.absent.map(name => ({ ...name, version: 0 }))),
      puts: batch.map(item => ({ ...item.row.name, value: item.row.value }))
    }).then(outcome => {
      this.lastDuration = clock.now() - sentAt
      for (const item of batch) item.sending = false
      this.take(part, batch, outcome)
      this.goOn(part, delayAfter(part, outcome))
    }, () => { this.goOn(part, RETRY_DELAY) })
  }

  private take (part: Part, batch: Item[], outcome: TransactionOutcome): void {
    switch (outcome.kind) {
      case 'done': return this.settleAll(part, batch, 'done')
      case 'conflict': return this.takeConflict(part, batch, outcome.rows)
      case 'unknown':
        for (const item of batch) item.uncertain = true
        return
      // Once an attempt may have been carried out, a refusal of another says nothing about it.
      case 'busy':
        this.busyAt = this.options.clock.now()
        return this.settleAll(part, batch.filter(item => !item.uncertain && !item.persistent), 'busy')
      case 'refused': return this.settleAll(part, batch.filter(item => !item.uncertain), 'refused')
    }
  }

  private settleAll (part: Part, items: Item[], outcome: WriteOutcome): void {
    for (const item of items) this.settle(part, item, outcome)
  }

  private goOn (part: Part, delay: number): void {
    part.sentAt = undefined
    if (part.queue.length === 0) return
    if (delay === 0) return this.flush(part)
    this.options.clock.schedule(delay, () => { if (part.sentAt === undefined) this.flush(part) })
  }

  private takeConflict (part: Part, batch: Item[], rows: Row[]): void {
    const present = new Set(rows.filter(row => row.version > 0).map(row => row.key))
    for (const item of batch) {
      if (item.row.absent.some(name => present.has(name.key))) this.settle(part, item, item.uncertain ? 'done' : 'repeated')
    }
  }

  private expire (part: Part, item: Item): void {
    this.settle(part, item, item.uncertain || item.sending ? 'unknown' : 'refused')
  }

  private settle (part: Part, item: Item, outcome: WriteOutcome): void {
    item.timer.cancel()
    const index = part.queue.indexOf(item)
    if (index >= 0) part.queue.splice(index, 1)
    item.resolve(outcome)
  }
}

function delayAfter (part: Part, { kind }: TransactionOutcome): number {
  const { delay } = part
  const wasTaken = kind === 'done' || kind === 'conflict'
  part.delay = wasTaken ? RETRY_DELAY : Math.min(RETRY_DELAY_MAX, 2 * delay)
  if (wasTaken) return 0
  return kind === 'busy' ? BUSY_DELAY : delay
}
