import type { Clock } from '@rattanstep/core'
import { CELL_EVENTS } from '../types/events.js'
import type { RecordStore, Row, RowName, Transaction, TransactionOutcome } from '../types/records.js'
import type { Term } from './Term.js'
import { decodeTerm, TERM_ROW, encodeTerm } from './Term.js'
import type { LatencyHistogram, Log, Metrics } from '@rattanstep/telemetry'
import { detach } from './detach.js'
import { RecentMaximum } from './RecentMaximum.js'
import { RecordPages } from './RecordPages.js'
import type { RecordRowChange } from './RecordPages.js'
import { repeatWhile } from './repeatWhile.js'

/** Entries of a transaction that the term row uses: its expectation and its put. */
const TERM_ENTRIES = 2
/** Delay before a transaction that got no answer or was refused is sent again. */
const RETRY_DELAY_MS = 100
/** Delay before a record that the store has rejected is written again, as it is by then. */
const REJECTED_RETRY_DELAY_MS = 1000

/** Time for which an interval between two confirmations of the term is remembered at least. */
const INTERVAL_MEMORY_MS = 10_000

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
  /** Called when the store has rejected the record of a key, which is written again later. Records of other keys are not affected. */
  onRejected: (key: string) => void
  /** Called when another node has claimed the term. */
  onTermLost: (loss: TermLoss) => void
}

const NO_CHANGE: RecordRowChange = { puts: [], deletes: [], bytes: 0 }

/** Changes of one transaction, apart from the term row. */
interface Batch {
  keys: string[]
  puts: Transaction['puts']
  deletes: RowName[]
  /** Bytes of the values. */
  bytes: number
}

type Verdict = 'done' | 'again' | 'rejected' | 'deposed'

/**
 * Writes a decider's records in a chain of transactions, each of which expects the version of the term row that the previous one wrote.
 * A transaction that got no answer is sent again with the same expectation, so that it takes effect only once and never after a later
 * transaction. After a transaction that the store rejects, each of its records is written alone, so that one that the store doesn't accept holds up no other.
 */
export class Recorder {
  private readonly dirtyKeys = new Set<string>()
  /** Keys whose records were in a transaction that was rejected; each is written alone until it is accepted. */
  private readonly suspectKeys = new Set<string>()
  /** Keys whose records the store has rejected alone, until the next attempt. */
  private readonly restingKeys = new Set<string>()
  private readonly pages = new RecordPages()
  private isRunning = false
  /** Whether a commit for changes that wait is scheduled. */
  private isDelayed = false
  private isStopped = false
  private rowVersion: number
  private serial = 0
  /** Monotonic ms at which the last successful transaction was sent. */
  confirmedAt: number
  commits = 0
  private readonly confirmationIntervals: LatencyHistogram
  private readonly recentIntervals: RecentMaximum

  /**
   * @param options - `term`, `version`: the term held by this node, and the version of its row; `encode`: returns the change of a key's
   * record, or `null` to leave the record unchanged
   */
  constructor (private readonly options: {
    store: RecordStore
    clock: Clock
    log: Log
    metrics: Metrics
    term: Term
    version: number
    encode: (key: string) => RecordChange | null
    callbacks: RecorderCallbacks
  }) {
    this.rowVersion = options.version
    this.confirmedAt = options.clock.now()
    this.recentIntervals = new RecentMaximum({ clock: options.clock, period: INTERVAL_MEMORY_MS })
    this.confirmationIntervals = options.metrics.timer('confirmation_interval')
  }

  /** @returns version of the store at the last commit */
  get version (): number {
    return this.rowVersion
  }

  /** @returns longest time in ms between two recent confirmations of the term, or since the last one */
  get confirmationInterval (): number {
    return Math.max(this.recentIntervals.value, this.options.clock.now() - this.confirmedAt)
  }

  private noteInterval (interval: number): void {
    this.confirmationIntervals.record(interval)
    this.recentIntervals.add(interval)
  }

  /** @returns number of records that the store doesn't accept */
  get rejectedRecords (): number {
    return this.restingKeys.size
  }

  /** Notes the number of pages of a record that was read. */
  notePages (key: string, pages: number): void {
    this.pages.note(key, pages)
  }

  /** Marks a key whose record is to be written. */
  markDirty (key: string): void {
    if (this.restingKeys.has(key)) return
    this.dirtyKeys.add(key)
    this.commitSoon()
  }

  /** Marks a key whose record is to be written with the next commit, or after a moment if there is none. */
  markDirtySoon (key: string): void {
    if (this.restingKeys.has(key)) return
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
      isConfirmed = await this.writeNext() || isConfirmed
    }, { clock, log, step: 'commit' })
    this.isRunning = false
  }

  /** @returns whether the store has accepted a transaction */
  private async writeNext (): Promise<boolean> {
    const taken: string[] = []
    let verdict: Verdict | undefined
    try {
      const batch = this.takeBatch(taken)
      verdict = await this.write(batch)
      if (verdict === 'rejected') this.isolate(batch)
    } finally {
      if (verdict === undefined) for (const key of taken) this.dirtyKeys.add(key)
    }
    return verdict === 'done'
  }

  /**
   * Takes the keys whose records are written next: as many as one transaction can hold, or a suspect alone.
   *
   * @param taken - receives the keys as they are taken, so that they are known after a fault
   * @returns the changes of their records
   */
  private takeBatch (taken: string[]): Batch {
    const { store: { limits }, encode } = this.options
    const batch: Batch = { keys: taken, puts: [], deletes: [], bytes: 0 }
    for (const key of [...this.dirtyKeys]) {
      const entries = TERM_ENTRIES + batch.puts.length + batch.deletes.length
      if (entries >= limits.transactionEntries) return batch
      const isSuspect = this.suspectKeys.has(key)
      if (isSuspect && taken.length > 0) continue
      const change = encode(key)
      const { puts, deletes, bytes } = change === null ? NO_CHANGE : this.pages.rowsOf(key, change, limits)
      const isTooLarge = entries + puts.length + deletes.length > limits.transactionEntries || batch.bytes + bytes > limits.transactionBytes
      if (isTooLarge && taken.length > 0) return batch
      this.dirtyKeys.delete(key)
      taken.push(key)
      batch.puts.push(...puts)
      batch.deletes.push(...deletes)
      batch.bytes += bytes
      if (isSuspect) return batch
    }
    return batch
  }

  /** Has the records of a rejected transaction written one by one; one that was alone is written again after a while. */
  private isolate ({ keys, puts, bytes }: Batch): void {
    const { clock, log, callbacks } = this.options
    for (const key of keys) this.suspectKeys.add(key)
    const [key] = keys
    if (keys.length !== 1 || key === undefined) {
      for (const each of keys) this.dirtyKeys.add(each)
      return
    }
    log.write(CELL_EVENTS.recordRejected, { job: key, bytes, rows: puts.length })
    this.restingKeys.add(key)
    this.dirtyKeys.delete(key)
    clock.schedule(REJECTED_RETRY_DELAY_MS, () => {
      this.restingKeys.delete(key)
      this.markDirty(key)
    })
    callbacks.onRejected(key)
  }

  private async write ({ keys, puts, deletes }: Batch): Promise<Verdict> {
    const { store, clock, term, callbacks } = this.options
    const serial = ++this.serial
    const termPut = { ...TERM_ROW, value: encodeTerm({ ...term, serial }) }
    while (!this.isStopped) {
      const sentAt = clock.now()
      const outcome = await store.commit({ expect: [{ ...TERM_ROW, version: this.rowVersion }], puts: [termPut, ...puts], deletes })
      const result = this.evaluateOutcome(outcome, serial)
      if (this.isStopped) return 'deposed'
      if (result === 'deposed') return result
      if (result === 'rejected' && keys.length > 0) return result
      if (result === 'done') {
        this.noteInterval(sentAt - this.confirmedAt)
        this.confirmedAt = sentAt
        this.commits++
        for (const key of keys) {
          this.suspectKeys.delete(key)
          this.pages.confirm(key)
        }
        callbacks.onRecorded(keys)
        return 'done'
      }
      await clock.sleep(RETRY_DELAY_MS)
    }
    return 'deposed'
  }

  private evaluateOutcome (outcome: TransactionOutcome, serial: number): Verdict {
    if (outcome.kind === 'done') {
      this.rowVersion = outcome.version
      return 'done'
    }
    if (outcome.kind === 'rejected') return 'rejected'
    if (outcome.kind !== 'conflict') return 'again'
    return this.evaluateConflict(outcome.rows, serial)
  }

  private evaluateConflict (rows: Row[], serial: number): Verdict {
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
