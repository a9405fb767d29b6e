import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Clock } from '@rattanstep/core'
import { RecordStore } from '../../src/index.js'
import type { RangeQuery, Row, RowChange, RowName, ReadFault, Transaction, TransactionOutcome } from '../../src/index.js'
import type { NodeClock } from './NodeClock.js'

/** Duration of a call. */
const ANSWER_MS = 5
/** Timeout of a call that gets no answer. */
const TIMEOUT_MS = 1200

/** Limits of the platform's store: base64 characters of a value, entries of a transaction, and bytes of a call. */
const MAX_VALUE_CHARS = 65_536
const MAX_ENTRIES = 100
const MAX_CALL_BYTES = 1_000_000

/** Contents of the store, shared by all nodes. */
export class FakeTables {
  version = 1
  readonly rows = new Map<string, Row>()
  /** Changes in order, since the last call of `dropHistory`. */
  history: RowChange[] = []
  /** For each part, time in ms at which its queued transactions are done while the store is slow. */
  readonly partIdleAt = new Map<string, number>()
  /** Version before which the history was dropped. */
  historyStart = 0
  /** Number of transactions that were rejected. */
  rejections = 0
  /** Key of rows that are never accepted. */
  rejectedKey = ''

  write (transaction: Transaction): TransactionOutcome {
    const excess = transaction.puts.some(({ key }) => key === this.rejectedKey) ? 'the row is not accepted' : findExcess(transaction)
    if (excess !== undefined) {
      this.rejections++
      return { kind: 'rejected', reason: excess }
    }
    const { expect, puts, deletes = [] } = transaction
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
    const outcome = this.write({ expect: [], puts: [{ ...name, value }] })
    if (outcome.kind === 'rejected') throw new Error(`row ${id(name)}: ${outcome.reason}`)
  }

  drop (name: RowName): void {
    this.write({ expect: [], puts: [], deletes: [name] })
  }

  dropHistory (): void {
    this.history = []
    this.historyStart = this.version
  }
}

/**
 * Condition of the connection between a node and the store.
 *
 * - `refusing`: every call is answered with a refusal
 * - `silent`: calls are not carried out and get no answer
 * - `losing-answers`: transactions are carried out and get no answer
 * - `late`: transactions are carried out after 3 s and get no answer
 * - `slow`: calls take much longer, and transactions of a part queue up
 * - `resetting`: every call fails immediately with a reset connection
 */
export type StoreCondition = 'normal' | 'refusing' | 'silent' | 'losing-answers' | 'late' | 'slow' | 'resetting'

/** Time in which a slow store answers, and time for which a transaction occupies its part: 85 times the usual duration together. */
const SLOW_ANSWER_MS = 340
const SLOW_TRANSACTION_MS = 570
/** Amount of queued work above which a part refuses transactions. */
const MAX_PART_QUEUE_MS = 1000

/** Store client of one node. */
export class FakeStore extends RecordStore {
  condition: StoreCondition = 'normal'
  /** Whether transactions that delete rows are refused. */
  refusesDeletions = false
  calls = 0
  /** Additional delay in ms of reads of rows, by table. */
  readonly readDelays = new Map<string, number>()
  private concurrentReads = 0
  /** Largest number of reads of rows that were open at the same time. */
  mostConcurrentReads = 0
  private answeredAt = -Infinity
  private failingSince: number | undefined

  constructor (private readonly tables: FakeTables, private readonly clock: NodeClock, private readonly sharedClock: Clock) {
    super()
  }

  override async commit (transaction: Transaction): Promise<TransactionOutcome> {
    this.calls++
    const { condition } = this
    if (condition === 'refusing' || condition === 'resetting') this.failingSince ??= this.clock.now()
    if (condition === 'refusing' || (this.refusesDeletions && (transaction.deletes ?? []).length > 0)) return await this.clock.deliver(ANSWER_MS, () => ({ kind: 'refused', reason: 'status 503' }))
    if (condition === 'resetting') return await this.clock.deliver(ANSWER_MS, () => ({ kind: 'unknown', reason: 'reset' }))
    if (condition === 'silent') return await this.clock.deliver(TIMEOUT_MS, () => ({ kind: 'unknown', reason: 'no answer' }))
    if (condition === 'losing-answers' || condition === 'late') {
      this.sharedClock.schedule(condition === 'late' ? 3000 : ANSWER_MS, () => { this.tables.write(transaction) })
      return await this.clock.deliver(TIMEOUT_MS, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    const delay = condition === 'slow' ? this.computeSlowDelay(transaction.puts[0]!.part) : ANSWER_MS
    if (delay === undefined) return await this.clock.deliver(SLOW_ANSWER_MS, () => ({ kind: 'busy', reason: 'status 429' }))
    if (delay > TIMEOUT_MS) {
      this.sharedClock.schedule(delay, () => { this.tables.write(transaction) })
      return await this.clock.deliver(TIMEOUT_MS, () => ({ kind: 'unknown', reason: 'no answer' }))
    }
    return await new Promise(resolve => {
      this.sharedClock.schedule(delay, () => {
        const outcome = this.tables.write(transaction)
        this.clock.run(() => { resolve(this.markAnswered(outcome)) })
      })
    })
  }

  /** @returns ms until a transaction on a slow store is answered, or `undefined` if the queue of its part is full */
  private computeSlowDelay (part: string): number | undefined {
    const now = this.sharedClock.now()
    const idleAt = Math.max(now, this.tables.partIdleAt.get(part) ?? 0)
    if (idleAt - now > MAX_PART_QUEUE_MS) return undefined
    this.tables.partIdleAt.set(part, idleAt + SLOW_TRANSACTION_MS)
    return idleAt + SLOW_TRANSACTION_MS + SLOW_ANSWER_MS - now
  }

  override async range ({ table, part, from = '', until }: RangeQuery): Promise<Result<{ rows: Row[], version: number }, ReadFault>> {
    this.mostConcurrentReads = Math.max(this.mostConcurrentReads, ++this.concurrentReads)
    const delay = this.readDelays.get(table) ?? 0
    if (delay > 0) await this.clock.sleep(delay)
    return await this.read(() => Ok({
      rows: [...this.tables.rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (until === undefined || row.key < until)).sort((a, b) => a.key < b.key ? -1 : 1),
      version: this.tables.version
    })).finally(() => { this.concurrentReads-- })
  }

  override async changes ({ table, after, wait }: { table: string, after: number, wait: number }): Promise<Result<{ rows: RowChange[], version: number }, ReadFault>> {
    const until = this.clock.now() + wait
    for (;;) {
      const answer = await this.read(() => {
        if (after < this.tables.historyStart) return Err<ReadFault>({ code: 'history-lost', reason: 'dropped' })
        return Ok({ rows: this.tables.history.filter(row => row.table === table && row.version > after), version: this.tables.version })
      })
      if (answer.isErr() || answer.value.rows.length > 0 || this.clock.now() >= until) return answer
      // A long poll counts as one call, however often the fake reads the history for it.
      this.calls--
      await this.clock.sleep(50)
    }
  }

  override now (): number {
    return this.sharedClock.now() + 1
  }

  override silentFor (): number {
    return this.clock.now() - this.answeredAt
  }

  override failingFor (): number {
    return this.failingSince === undefined ? 0 : this.clock.now() - this.failingSince
  }

  private async read<Value> (make: () => Result<Value, ReadFault>): Promise<Result<Value, ReadFault>> {
    this.calls++
    if (this.condition === 'refusing' || this.condition === 'resetting') {
      this.failingSince ??= this.clock.now()
      return await this.clock.deliver(ANSWER_MS, () => Err({ code: 'unavailable', reason: this.condition }))
    }
    if (this.condition === 'silent') return await this.clock.deliver(TIMEOUT_MS, () => Err({ code: 'unavailable', reason: 'no answer' }))
    return await this.clock.deliver(this.condition === 'slow' ? SLOW_ANSWER_MS : ANSWER_MS, () => this.markAnswered(make()))
  }

  private markAnswered<Value> (value: Value): Value {
    this.answeredAt = this.clock.now()
    this.failingSince = undefined
    return value
  }
}

/** @returns which limit a transaction exceeds, if any */
function findExcess (transaction: Transaction): string | undefined {
  const { expect, puts, deletes = [] } = transaction
  const values = puts.map(({ value }) => Buffer.from(value).toString('base64'))
  const entries = expect.length + puts.length + deletes.length
  const longest = Math.max(0, ...values.map(value => value.length))
  const bytes = Buffer.byteLength(JSON.stringify({ expect, puts: puts.map((put, index) => ({ ...put, value: values[index] })), deletes }))
  if (longest > MAX_VALUE_CHARS) return `a value has ${longest} characters of base64`
  if (entries > MAX_ENTRIES) return `the transaction has ${entries} entries`
  return bytes > MAX_CALL_BYTES ? `the transaction has ${bytes} bytes` : undefined
}

function id ({ table, part, key }: RowName): string {
  return `${table}/${part}/${key}`
}
