import { Err, Ok, Table } from '@rattanstep/core'
import type { Clock, Range, Result, Row, TableError, Transaction } from '@rattanstep/core'
import type { Faults } from '../types/faults.js'
import { FaultInjector } from './FaultInjector.js'

const DEFAULT_LIST_LIMIT = 1000

/** A transactional table in memory, with fault injection. */
export class MemoryTable extends Table {
  readonly faultInjector: FaultInjector
  private readonly rows = new Map<string, Row>()
  /** Called after each transaction that was applied. */
  onCommit: (transaction: Transaction) => void = () => {}

  /**
   * @param options - `clock`: clock for injected delays; `faults`: initial faults
   */
  constructor (options: { clock: Clock, faults?: Partial<Faults> }) {
    super()
    this.faultInjector = new FaultInjector(options)
  }

  /** Active faults, which may be changed at any time. */
  get faults (): Faults {
    return this.faultInjector.faults
  }

  override async read (keys: string[]): Promise<Result<Row[], TableError>> {
    return await this.faultInjector.read(() => Ok(keys.flatMap(key => this.rows.get(key) ?? [])))
  }

  override async list (range: Range): Promise<Result<Row[], TableError>> {
    return await this.faultInjector.read(() => Ok(this.select(range)))
  }

  override async commit (transaction: Transaction): Promise<Result<Row[], TableError>> {
    return await this.faultInjector.write(() => this.apply(transaction))
  }

  /**
   * Lists rows without injecting faults.
   *
   * @param prefix - prefix of the keys
   * @returns the rows, sorted by key
   */
  peek (prefix = ''): Row[] {
    return this.select({ prefix, limit: Infinity })
  }

  private select (range: Range): Row[] {
    const after = range.after ?? ''
    return [...this.rows.values()]
      .filter(row => row.key.startsWith(range.prefix) && row.key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, range.limit ?? DEFAULT_LIST_LIMIT)
  }

  private apply (transaction: Transaction): Result<Row[], TableError> {
    for (const check of transaction.checks) {
      const version = this.rows.get(check.key)?.version ?? 0
      if (version === check.version) continue
      return Err({ fault: 'conflict', message: `row ${check.key} is at version ${version}, not ${check.version}` })
    }
    const written = transaction.writes.map(write => this.put(write.key, write.value, transaction.operation))
    this.onCommit(transaction)
    return Ok(written)
  }

  private put (key: string, value: string | null, operation: string): Row {
    const version = (this.rows.get(key)?.version ?? 0) + 1
    const row: Row = { key, version, value: value ?? '', operation }
    if (value === null) this.rows.delete(key)
    else this.rows.set(key, row)
    return row
  }
}
