import type { Clock } from '@rattanstep/core'
import type { RecordStore, Row, RowName, Transaction, TransactionOutcome } from '../types/records.js'
import type { Term } from './Term.js'
import { decodeTerm, TERM_ROW, encodeTerm } from './Term.js'
import type { Log } from '@rattanstep/telemetry'
import { detach } from './detach.js'
import { recordRowName } from './rowNames.js'
import { repeatWhile } from './repeatWhile.js'

/** The store accepts 100 entries in a transaction, of which the term row uses two. */
const MAX_ROWS_PER_TRANSACTION = 98
/** Delay before a transaction that got no answer or was refused is sent again. */
const RETRY_DELAY_MS = 100

/** Longest time for which a change that needs no transaction of its own waits for another one. */
const MAX_DELAY_MS = 50

/** Loss of a decider's term; `term` is the new term, if it could be read. */
export type TermLoss = { reason: 'superseded', term: Term | undefined }

/** Change of the record of a job. */
export type RecordChange = { kind: 'put', value: string } | { kind: 'delete' }

/** Callbacks of a recorder. */
export interface RecorderCallbacks {
  /** Receives the keys given to `markDirty` whose records are now written. */
  onRecorded: (keys: string[]) => void
  /** Called when another node has claimed the term. */
  onTermLost: (loss: TermLoss) => void
}

/**
 * Writes a decider's records in a chain of transactions, each of which expects the version of the term row that the previous one wrote.
 * A transaction that got no answer is sent again with the same expectation, so that it takes effect only once and never after a later
 * transaction.
 */
export class Recorder {
  private readonly dirtyKeys = new Set<string>()
  private isRunning = false
  /** Whether a commit for changes that wait is scheduled. */
  private isDelayed = false
  private isStopped = false
  private rowVersion: number
  private serial = 0
  /** Monotonic ms at which the last successful transaction was sent. */
  confirmedAt: number
  commits = 0

  /**
   * @param options - `term`, `version`: the term held by this node, and the version of its row; `encode`: returns the change of a key's
   * record, or `null` to leave the record unchanged
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

  /** @returns version of the store at the last commit */
  get version (): number {
    return this.rowVersion
  }

  /** Marks a key whose record is to be written. */
  markDirty (key: string): void {
    this.dirtyKeys.add(key)
    this.commitSoon()
  }

  /** Marks a key whose record is to be written with the next commit, or after a moment if there is none. */
  markDirtySoon (key: string): void {
    this.dirtyKeys.add(key)
    if (this.isDelayed) return
    this.isDelayed = true
    this.options.clock.schedule(MAX_DELAY_MS, () => {
      this.isDelayed = false
      if (this.dirtyKeys.size > 0) this.commitSoon()
    })
  }

  /** Schedules a commit even if no key is marked, so that other nodes see that the decider is alive. */
  commitSoon (): void {
    if (this.isRunning || this.isStopped) return
    this.isRunning = true
    this.options.clock.scheduleImmediate(() => { detach(this.writeDirtyKeys(), this.options.log, 'commit') })
  }

  stop (): void {
    this.isStopped = true
  }

  private async writeDirtyKeys (): Promise<void> {
    const { clock, log } = this.options
    let isConfirmed = false
    await repeatWhile(() => (!isConfirmed || this.dirtyKeys.size > 0) && !this.isStopped, async () => {
      await this.writeNext()
      isConfirmed = true
    }, { clock, log, step: 'commit' })
    this.isRunning = false
  }

  private async writeNext (): Promise<void> {
    const keys = [...this.dirtyKeys].slice(0, MAX_ROWS_PER_TRANSACTION)
    for (const key of keys) this.dirtyKeys.delete(key)
    let isWritten = false
    try {
      await this.write(keys)
      isWritten = true
    } finally {
      if (!isWritten) for (const key of keys) this.dirtyKeys.add(key)
    }
  }

  private async write (keys: string[]): Promise<void> {
    const { store, clock, term, encode, callbacks } = this.options
    const serial = ++this.serial
    const puts: Transaction['puts'] = []
    const deletes: RowName[] = []
    for (const key of keys) {
      const change = encode(key)
      if (change?.kind === 'put') puts.push({ ...recordRowName(key), value: change.value })
      else if (change?.kind === 'delete') deletes.push(recordRowName(key))
    }
    const termPut = { ...TERM_ROW, value: encodeTerm({ ...term, serial }) }
    while (!this.isStopped) {
      const sentAt = clock.now()
      const outcome = await store.commit({ expect: [{ ...TERM_ROW, version: this.rowVersion }], puts: [termPut, ...puts], deletes })
      const result = this.evaluateOutcome(outcome, serial)
      if (this.isStopped) return
      if (result === 'deposed') return
      if (result === 'done') {
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
      this.isStopped = true
      callbacks.onTermLost({ reason: 'superseded', term: current })
      return 'deposed'
    }
    this.rowVersion = row.version
    return current.serial === serial ? 'done' : 'again'
  }
}
