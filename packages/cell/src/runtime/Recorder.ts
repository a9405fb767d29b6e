import type { Clock } from '@rattanstep/core'
import type { RecordStore, Row, RowName, Transaction, TransactionOutcome } from '../types/records.js'
import type { Term } from './Term.js'
import { readTerm, termRow, writeTerm } from './Term.js'
import type { Log } from '@rattanstep/telemetry'
import { detach } from './detach.js'

/** Rows in one transaction; the store takes 100 entries, of which the term takes two. */
const ENTRIES_MAX = 98
/** ms between attempts at a transaction that had no answer or was refused. */
const RETRY_DELAY = 100

/** Why a decider has lost its term. */
export type Deposition = { reason: 'superseded', term: Term | undefined }

/** What happens to the row of a key. */
export type RecordChange = { kind: 'put', value: string } | { kind: 'delete' }

/** What a recorder reports. */
export interface RecorderEvents {
  /** Keys that are on record now, as given to `mark`. */
  recorded: (keys: string[]) => void
  /** Another node has claimed the term. */
  deposed: (deposition: Deposition) => void
}

/**
 * Writes a decider's records as one chain of transactions: each expects the version of the term row that the one before left. A
 * transaction without an answer is repeated under the same expectation, so that it takes effect once and never after a later one.
 */
export class Recorder {
  private readonly dirty = new Set<string>()
  private busy = false
  private stopped = false
  private version: number
  private serial = 0
  /** Monotonic ms at which the last successful transaction was sent. */
  confirmedAt: number
  commits = 0

  /**
   * @param options - `store`; `clock`; `term`: the term held, and the version of its row; `encode`: what happens to a key's row, `null` to
   * leave it; `events`
   */
  constructor (private readonly options: {
    store: RecordStore
    clock: Clock
    log: Log
    term: Term
    version: number
    encode: (key: string) => RecordChange | null
    events: RecorderEvents
  }) {
    this.version = options.version
    this.confirmedAt = options.clock.now()
  }

  /** Asks for a key to be recorded. */
  mark (key: string): void {
    this.dirty.add(key)
    this.kick()
  }

  /** Commits even when nothing is marked, so that others see that the decider lives. */
  kick (): void {
    if (this.busy || this.stopped) return
    this.busy = true
    this.options.clock.scheduleImmediate(() => { detach(this.run(), this.options.log, 'commit') })
  }

  stop (): void {
    this.stopped = true
  }

  private async run (): Promise<void> {
    do {
      const keys = [...this.dirty].slice(0, ENTRIES_MAX)
      for (const key of keys) this.dirty.delete(key)
      await this.write(keys)
    } while (this.dirty.size > 0 && !this.stopped)
    this.busy = false
  }

  private async write (keys: string[]): Promise<void> {
    const { store, clock, term, encode, events } = this.options
    const serial = ++this.serial
    const puts: Transaction['puts'] = []
    const deletes: RowName[] = []
    for (const key of keys) {
      const change = encode(key)
      if (change?.kind === 'put') puts.push({ table: 'tasks', part: 'd', key, value: change.value })
      else if (change?.kind === 'delete') deletes.push({ table: 'tasks', part: 'd', key })
    }
    const mine = { ...termRow, value: writeTerm({ ...term, serial }) }
    while (!this.stopped) {
      const sentAt = clock.now()
      const outcome = await store.commit({ expect: [{ ...termRow, version: this.version }], puts: [mine, ...puts], deletes })
      const settled = this.settle(outcome, serial)
      if (this.stopped) return
      if (settled === 'deposed') return
      if (settled === 'done') {
        this.confirmedAt = sentAt
        this.commits++
        events.recorded(keys)
        return
      }
      await clock.sleep(RETRY_DELAY)
    }
  }

  private settle (outcome: TransactionOutcome, serial: number): 'done' | 'again' | 'deposed' {
    if (outcome.kind === 'done') {
      this.version = outcome.version
      return 'done'
    }
    if (outcome.kind !== 'conflict') return 'again'
    return this.settleConflict(outcome.rows, serial)
  }

  private settleConflict (rows: Row[], serial: number): 'done' | 'again' | 'deposed' {
    const row = rows.find(each => each.table === termRow.table && each.key === termRow.key)
    const now = row === undefined ? undefined : readTerm(row.value)
    const { term, events } = this.options
    if (row === undefined || now === undefined || now.fence !== term.fence || now.node !== term.node || now.start !== term.start) {
      this.stopped = true
      events.deposed({ reason: 'superseded', term: now })
      return 'deposed'
    }
    this.version = row.version
    return now.serial === serial ? 'done' : 'again'
  }
}
