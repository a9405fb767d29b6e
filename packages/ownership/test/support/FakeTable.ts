import { Err, Ok, Table } from '@rattanstep/core'
import type { Random, Range, Result, Row, TableError, Transaction } from '@rattanstep/core'
import type { NodeClock, Simulation } from '@rattanstep/stand-ins'

/** The table's rows, shared by all nodes, and the faults in force. */
export class FakeStore {
  readonly rows = new Map<string, Row>()
  down = false
  /** Maximum delay in ms of a request, and of its answer. */
  maxDelay = 2
  answerLossProbability = 0
  lateWriteProbability = 0
  reads = 0
  commits = 0
  /** Number of writes that took effect. */
  writes = 0
  /** How often a resource got another owner than its last one. */
  handOvers = 0
  private readonly lastOwners = new Map<string, string>()

  commit (transaction: Transaction): Result<Row[], TableError> {
    const fits = transaction.checks.every(check => (this.rows.get(check.key)?.version ?? 0) === check.version)
    if (!fits) return Err({ fault: 'conflict', message: 'another version' })
    this.writes++
    return Ok(transaction.writes.map(({ key, value }) => {
      const version = (this.rows.get(key)?.version ?? 0) + 1
      const row = { key, version, value: value ?? '', operation: transaction.operation }
      this.rows.set(key, row)
      this.countHandOvers(row.value)
      return row
    }))
  }

  private countHandOvers (value: string): void {
    const { owners }: { owners: Record<string, string> } = JSON.parse(value)
    for (const [resource, owner] of Object.entries(owners)) {
      const last = this.lastOwners.get(resource)
      this.lastOwners.set(resource, owner)
      if (last !== undefined && last !== owner) this.handOvers++
    }
  }
}

/** The table of one process. */
export class FakeTable extends Table {
  constructor (
    private readonly store: FakeStore,
    private readonly simulation: Simulation,
    private readonly clock: NodeClock,
    private readonly random: Random
  ) {
    super()
  }

  override async read (keys: string[]): Promise<Result<Row[], TableError>> {
    this.store.reads++
    return await this.call<Row[]>(() => Ok(keys.flatMap(key => this.store.rows.get(key) ?? [])), false)
  }

  override async list (range: Range): Promise<Result<Row[], TableError>> {
    return await this.call<Row[]>(() => Ok([...this.store.rows.values()].filter(row => row.key.startsWith(range.prefix))), false)
  }

  override async commit (transaction: Transaction): Promise<Result<Row[], TableError>> {
    this.store.commits++
    return await this.call(() => this.store.commit(transaction), true)
  }

  private async call<T> (work: () => Result<T, TableError>, isWrite: boolean): Promise<Result<T, TableError>> {
    const { store, simulation, clock, random } = this
    return await new Promise(resolve => {
      const answer = (result: Result<T, TableError>): void => { clock.run(() => { resolve(result) }) }
      if (isWrite && random.next() < store.lateWriteProbability) {
        simulation.schedule(random.next() * MAX_LATE_WRITE_DELAY_MS, work)
        simulation.schedule(store.maxDelay, () => { answer(Err({ fault: 'unknown', message: 'no answer' })) })
        return
      }
      simulation.schedule(random.next() * store.maxDelay, () => {
        const result = store.down ? Err({ fault: 'unavailable' as const, message: 'down' }) : work()
        const lost = random.next() < store.answerLossProbability
        simulation.schedule(random.next() * store.maxDelay, () => {
          answer(lost ? Err({ fault: 'unknown', message: 'answer lost' }) : result)
        })
      })
    })
  }
}

/** Maximum delay until a late write takes effect. */
const MAX_LATE_WRITE_DELAY_MS = 8000
