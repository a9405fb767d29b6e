import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { Err } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { RecordStore } from '../types/records.js'
import type { RangeQuery, Row, RowChange, RowPage, ReadFault, StoreLimits, Transaction, TransactionOutcome } from '../types/records.js'
import { settle } from './settle.js'
import type { SettleOptions } from './settle.js'

/** Time after which a call is given up; longer than the timeouts of the store's client, which repeats calls. */
const CALL_TIMEOUT_MS = 10_000

/** A store each of whose calls has an outcome, whatever its client does. */
export class BoundedStore extends RecordStore {
  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log }) {
    super()
  }

  override get limits (): Readonly<StoreLimits> {
    return this.options.store.limits
  }

  override async commit (transaction: Transaction): Promise<TransactionOutcome> {
    return await this.settle(async () => await this.options.store.commit(transaction), { step: 'transaction', outcomeOf: reason => ({ kind: 'unknown', reason }) })
  }

  override async range (query: RangeQuery): Promise<Result<{ rows: Row[], version: number }, ReadFault>> {
    return await this.settle(async () => await this.options.store.range(query), { step: 'read of rows', outcomeOf: unavailable })
  }

  override async page (query: RangeQuery): Promise<Result<RowPage, ReadFault>> {
    return await this.settle(async () => await this.options.store.page(query), { step: 'read of a page', outcomeOf: unavailable })
  }

  override async changes (query: { table: string, after: number, wait: number }): Promise<Result<{ rows: RowChange[], version: number }, ReadFault>> {
    return await this.settle(async () => await this.options.store.changes(query), { step: 'read of changes', timeout: query.wait + CALL_TIMEOUT_MS, outcomeOf: unavailable })
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

  private async settle<Outcome> (call: () => Promise<Outcome>, settings: Pick<SettleOptions<Outcome>, 'step' | 'outcomeOf'> & { timeout?: number }): Promise<Outcome> {
    const { clock, log } = this.options
    return await settle(call, { clock, log, timeout: CALL_TIMEOUT_MS, ...settings })
  }
}

function unavailable (reason: string): Result<never, ReadFault> {
  return Err({ code: 'unavailable', reason })
}
