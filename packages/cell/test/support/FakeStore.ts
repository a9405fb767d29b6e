import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Clock } from '@rattanstep/core'
import { RecordStore } from '../../src/index.js'
import type { RangeQuery, Row, RowChange, RowName, StoreFault, Transaction, TransactionOutcome } from '../../src/index.js'
import type { LifeClock } from './LifeClock.js'

/** ms of one answer. */
const ANSWER = 5
/** ms after which a call without an answer is given up. */
const TIMEOUT = 1200

/** Rows that all nodes share. */
export class FakeTables {
  version = 1
  readonly rows = new Map<string, Row>()
  /** Changes in order; dropped when the history is forgotten. */
  history: RowChange[] = []
  /** ms at which each part has worked off what waits there, while the store is slow. */
  readonly partIdleAt = new Map<string, number>()
  /** Version below which no history is left. */
  forgotten = 0

  write ({ expect, puts, deletes = [] }: Transaction): TransactionOutcome {
    const wrong = expect.some(row => (this.rows.get(id(row))?.version ?? 0) !== row.version)
    if (wrong) return { kind: 'conflict', rows: expect.flatMap(row => this.rows.get(id(row)) ?? []) }
    const version = ++this.version
    for (const put of puts) {
      const row = { ...put, version }
      this.rows.set(id(put), row)
      this.history.push({ ...row, deleted: false })
    }
    for (const name of deletes) {
      this.rows.delete(id(name))
      this.history.push({ ...name, value: '', version, deleted: true })
    }
    return { kind: 'done', version }
  }

  put (name: RowName, value: string): void {
    this.write({ expect: [], puts: [{ ...name, value }] })
  }

  drop (name: RowName): void {
    this.write({ expect: [], puts: [], deletes: [name] })
  }

  forgetHistory (): void {
    this.history = []
    this.forgotten = this.version
  }
}

/** What a node's way to the store does to its calls. */
export type StoreWeather = 'fair' | 'refusing' | 'silent' | 'losing-answers' | 'late' | 'slow' | 'resetting'

/** ms that a slow store takes to answer, and that one transaction keeps its part busy: 85 times the usual. */
const SLOW_ANSWER = 340
const SLOW_TRANSACTION = 570
/** ms of waiting work from which a part turns transactions away. */
const PART_QUEUE = 1000

/** One node's way to the shared rows. */
export class FakeStore extends RecordStore {
  weather: StoreWeather = 'fair'
  calls = 0
  private answeredAt = -Infinity
  private failingSince: number | undefined

  constructor (private readonly tables: FakeTables, private readonly clock: LifeClock, private readonly world: Clock) {
    super()
  }

  override async commit (transaction: Transaction): Promise<TransactionOutcome> {
    this.calls++
    const { weather } = this
    if (weather === 'refusing' || weather === 'resetting') this.failingSince ??= this.clock.now()
    if (weather === 'refusing') return await this.clock.deliver(ANSWER, () => ({ kind: 'refused', reason: 'status 503' }))
    if (weather === 'resetting') return await this.clock.deliver(ANSWER, () => ({ kind: 'unknown', reason: 'reset' }))
    if (weather === 'silent') return await this.clock.deliver(TIMEOUT, () => ({ kind: 'unknown', reason: 'no answer' }))
    if (weather === 'losing-answers' || weather === 'late') {
      this.world.schedule(weather === 'late' ? 3000 : ANSWER, () => { this.tables.write(transaction) })
      return await this.clock.deliver(TIMEOUT, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    const delay = weather === 'slow' ? this.queue(transaction.puts[0]!.part) : ANSWER
    if (delay === undefined) return await this.clock.deliver(SLOW_ANSWER, () => ({ kind: 'busy', reason: 'status 429' }))
    if (delay > TIMEOUT) {
      this.world.schedule(delay, () => { this.tables.write(transaction) })
      return await this.clock.deliver(TIMEOUT, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    return await new Promise(resolve => {
      this.world.schedule(delay, () => {
        const outcome = this.tables.write(transaction)
        this.clock.run(() => { resolve(this.heard(outcome)) })
      })
    })
  }

  /** @returns ms until a transaction on a slow store is answered, unless its part has too much waiting */
  private queue (part: string): number | undefined {
    const now = this.world.now()
    const idleAt = Math.max(now, this.tables.partIdleAt.get(part) ?? 0)
    if (idleAt - now > PART_QUEUE) return undefined
    this.tables.partIdleAt.set(part, idleAt + SLOW_TRANSACTION)
    return idleAt + SLOW_TRANSACTION + SLOW_ANSWER - now
  }

  override async range ({ table, part, from = '', until }: RangeQuery): Promise<Result<{ rows: Row[], version: number }, StoreFault>> {
    return await this.read(() => Ok({
      rows: [...this.tables.rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (until === undefined || row.key < until)).sort((a, b) => a.key < b.key ? -1 : 1),
      version: this.tables.version
    }))
  }

  override async changes ({ table, after, wait }: { table: string, after: number, wait: number }): Promise<Result<{ rows: RowChange[], version: number }, StoreFault>> {
    const until = this.clock.now() + wait
    for (;;) {
      const answer = await this.read(() => {
        if (after < this.tables.forgotten) return Err<StoreFault>({ code: 'history-lost', reason: 'dropped' })
        return Ok({ rows: this.tables.history.filter(row => row.table === table && row.version > after), version: this.tables.version })
      })
      if (answer.isErr() || answer.value.rows.length > 0 || this.clock.now() >= until) return answer
      // However often it looks for news, a question that waits is one call.
      this.calls--
      await this.clock.sleep(50)
    }
  }

  override now (): number {
    return this.world.now() + 1
  }

  override silence (): number {
    return this.clock.now() - this.answeredAt
  }

  override failing (): number {
    return this.failingSince === undefined ? 0 : this.clock.now() - this.failingSince
  }

  private async read<Value> (make: () => Result<Value, StoreFault>): Promise<Result<Value, StoreFault>> {
    this.calls++
    if (this.weather === 'refusing' || this.weather === 'resetting') {
      this.failingSince ??= this.clock.now()
      return await this.clock.deliver(ANSWER, () => Err({ code: 'unavailable', reason: this.weather }))
    }
    if (this.weather === 'silent') return await this.clock.deliver(TIMEOUT, () => Err({ code: 'unavailable', reason: 'no answer' }))
    return await this.clock.deliver(this.weather === 'slow' ? SLOW_ANSWER : ANSWER, () => this.heard(make()))
  }

  private heard<Value> (value: Value): Value {
    this.answeredAt = this.clock.now()
    this.failingSince = undefined
    return value
  }
}

function id ({ table, part, key }: RowName): string {
  return `${table}/${part}/${key}`
}
