import type { Clock } from '@rattanstep/core'
import type { RecordStore, Row, RowName, Transaction, TransactionOutcome } from '../types/records.js'
import type { Term } from './Term.js'
import { decodeTerm, TERM_ROW, encodeTerm } from './Term.js'
import type { Log } from '@rattanstep/telemetry'
import { detach } from './detach.js'

/** Rows in one transaction; the store takes 100 entries, of which the term takes two. */
const MAX_ROWS_PER_TRANSACTION = 98
/** ms between attempts at a transaction that had no answer or was refused. */
const RETRY_DELAY_MS = 100

/** Why a decider has lost its term. */
export type TermLoss = { reason: 'superseded', term: Term | undefined }

/** What happens to the row of a key. */
export type RecordChange = { kind: 'put', value: string } | { kind: 'delete' }

/** What a recorder reports. */
export interface RecorderCallbacks {
  /** Keys that are on record now, as given to `mark`. */
  onRecorded: (keys: string[]) => void
  /** Another node has claimed the term. */
  onTermLost: (deposition: TermLoss) => void
}

/**
 * Writes a decider's records as one chain of transactions: each expects the version of the term row that the one before left. A
 * transaction without an answer is repeated under the same expectation, so that it takes effect once and never after a later one.
 */
export class Recorder {
  private readonly dirtyKeys = new Set<string>()
  private isRunning = false
  private stopped = false
  private rowVersion: number
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
    callbacks: RecorderCallbacks
  }) {
    this.rowVersion = options.version
    this.confirmedAt = options.clock.now()
  }

  /** Asks for a key to be recorded. */
  markDirty (key: string): void {
    this.dirtyKeys.add(key)
    this.commitSoon()
  }

  /** Commits even when nothing is marked, so that others see that the decider lives. */
  commitSoon (): void {
    if (this.isRunning || this.stopped) return
    this.isRunning = true
    this.options.clock.soon(() => { detach(this.writeDirtyKeys(), this.options.log, 'commit') })
  }

  stop (): void {
    this.stopped = true
  }

  private async writeDirtyKeys (): Promise<void> {
    do {
      const keys = [...this.dirtyKeys].slice(0, MAX_ROWS_PER_TRANSACTION)
      for (const key of keys) this.dirtyKeys.delete(key)
      await this.write(keys)
    } while (this.dirtyKeys.size > 0 && !this.stopped)
    this.isRunning = false
  }

  private async write (keys: string[]): Promise<void> {
    const { store, clock, term, encode, callbacks } = this.options
    const serial = ++this.serial
    const puts: Transaction['puts'] = []
    const deletes: RowName[] = []
    for (const key of keys) {
      const change = encode(key)
      if (change?.kind === 'put') puts.push({ table: 'tasks', part: 'd', key, value: change.value })
      else if (change?.kind === 'delete') deletes.push({ table: 'tasks', part: 'd', key })
    }
    const termPut = { ...TERM_ROW, value: encodeTerm({ ...term, serial }) }
    while (!this.stopped) {
      const sentAt = clock.now()
      const outcome = await store.commit({ expect: [{ ...TERM_ROW, version: this.rowVersion }], puts: [termPut, ...puts], deletes })
      const settled = this.evaluateOutcome(outcome, serial)
      if (this.stopped) return
      if (settled === 'deposed') return
      if (settled === 'done') {
        this.confirmedAt = sentAt
        this.commits++
        callbacks.onRecorded(keys)
        return
      }
      await clock.sleep(RETRY_DELAY_MS)
    }
  }

  private evaluateOutcome (outcome: TransactionOutcome, serial: number): 'done' | 'again' | 'deposed' {
    if (outcome.kind === 'done') {
      this.rowVersion = outcome.version
      return 'done'
    }
    if (outcome.kind !== 'conflict') return 'again'
    return this.evaluateConflict(outcome.rows, serial)
  }

  private evaluateConflict (rows: Row[], serial: number): 'done' | 'again' | 'deposed' {
    const row = rows.find(each => each.table === TERM_ROW.table && each.key === TERM_ROW.key)
    const current = row === undefined ? undefined : decodeTerm(row.value)
    const { term, callbacks } = this.options
    if (row === undefined || current === undefined || current.fence !== term.fence || current.node !== term.node || current.start !== term.start) {
      this.stopped = true
      callbacks.onTermLost({ reason: 'superseded', term: current })
      return 'deposed'
    }
    this.rowVersion = row.version
    return current.serial === serial ? 'done' : 'again'
  }
}
