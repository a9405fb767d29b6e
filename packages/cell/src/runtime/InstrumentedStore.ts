import type { Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import { CELL_EVENTS } from '../types/events.js'
import { SLOW_COMMIT_MS } from '../types/limits.js'
import { RecordStore } from '../types/records.js'
import type { RangeQuery, Row, RowChange, RowPage, ReadFault, StoreLimits, Transaction, TransactionOutcome } from '../types/records.js'

/** Adds metrics to a store, and logs its slow and unanswered transactions. */
export class InstrumentedStore extends RecordStore {
  /** Parts whose last transaction was refused or got no answer. */
  private readonly failingParts = new Set<string>()

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, metrics: Metrics }) {
    super()
  }

  override get limits (): Readonly<StoreLimits> {
    return this.options.store.limits
  }

  override async commit (transaction: Transaction): Promise<TransactionOutcome> {
    const { store, clock, log, metrics } = this.options
    const sentAt = clock.now()
    const outcome = await store.commit(transaction)
    const duration = clock.now() - sentAt
    metrics.timer('store_commit', { outcome: outcome.kind }).record(duration)
    const part = transaction.puts[0]?.part ?? ''
    if (this.shouldLog(part, outcome.kind, duration)) {
      log.write(CELL_EVENTS.commitSlow, {
        part,
        rows: transaction.puts.length + (transaction.deletes?.length ?? 0),
        duration: Math.round(duration),
        outcome: outcome.kind,
        ...('reason' in outcome ? { reason: outcome.reason } : {})
      })
    }
    return outcome
  }

  override async range (query: RangeQuery): Promise<Result<{ rows: Row[], version: number }, ReadFault>> {
    return await this.measureRead(async store => await store.range(query))
  }

  override async page (query: RangeQuery): Promise<Result<RowPage, ReadFault>> {
    return await this.measureRead(async store => await store.page(query))
  }

  override async changes (query: { table: string, after: number, wait: number }): Promise<Result<{ rows: RowChange[], version: number }, ReadFault>> {
    return await this.options.store.changes(query)
  }

  override now (): number {
    return this.options.store.now()
  }

  override silentFor (): number {
    return this.options.store.silentFor()
  }

  override failingFor (): number {
    return this.options.store.failingFor()
  }

  private async measureRead<Value> (read: (store: RecordStore) => Promise<Result<Value, ReadFault>>): Promise<Result<Value, ReadFault>> {
    const { store, clock, metrics } = this.options
    const sentAt = clock.now()
    const answer = await read(store)
    metrics.timer('store_read', { outcome: answer.isOk() ? 'done' : answer.error.code }).record(clock.now() - sentAt)
    return answer
  }

  /** Decides whether a transaction is logged. Of consecutive unanswered transactions of a part, only the first is, unless they are slow. */
  private shouldLog (part: string, kind: TransactionOutcome['kind'], duration: number): boolean {
    const isFirst = !this.failingParts.has(part)
    if (kind === 'unknown' || kind === 'refused') this.failingParts.add(part)
    else this.failingParts.delete(part)
    return duration >= SLOW_COMMIT_MS || (kind === 'unknown' && isFirst)
  }
}
