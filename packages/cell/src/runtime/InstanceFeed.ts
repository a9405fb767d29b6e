import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { RecordStore, Row, RowChange } from '../types/records.js'
import type { RowReader } from '../types/ports.js'
import type { WorkerReport } from '../types/worker.js'
import { CELL_EVENTS } from '../types/events.js'
import { detach } from './detach.js'
import { repeatWhile } from './repeatWhile.js'
import { runLogged } from './runLogged.js'

/** Duration of a long poll for changes. It is short, because a feed can stop delivering changes without an error. */
const FEED_WAIT_MS = 1000
/** Delay after an answer with changes. Hundreds of workers write every one or two seconds; without the delay each write would cost a poll. */
const BATCH_DELAY_MS = 150
/** Delay between attempts while the store does not answer. */
const RETRY_DELAY_MS = 200
/** Time after a store outage within which a missing entry may still return. The platform specifies two seconds. */
const ENTRY_RETURN_GRACE_MS = 2500
/** Minimum store silence that counts as an outage in which entries may have expired: one heartbeat of a worker. */
const MIN_OUTAGE_MS = 1500

/** Follows the platform's list of instances, which contains the workers. */
export class InstanceFeed {
  private version = 0
  private readonly states = new Map<string, WorkerReport['state']>()
  /** Monotonic ms. */
  private outageEndedAt = -Infinity
  private isStoreLost = false
  /** Monotonic ms at which the list was last known to be up to date. */
  confirmedAt = -Infinity

  constructor (private readonly options: {
    store: RecordStore
    reader: RowReader
    clock: Clock
    log: Log
    onListed: (report: WorkerReport) => void
    onGone: (id: string) => void
  }) {}

  /** Reads the list, with retries until it succeeds, then follows it in the background. */
  async start (isStopped: () => boolean): Promise<void> {
    const { clock, log } = this.options
    while (!isStopped() && !await this.readAll()) await clock.sleep(RETRY_DELAY_MS)
    detach(repeatWhile(() => !isStopped(), async () => { await this.follow(isStopped) }, { clock, log, step: 'instance list' }), log, 'instance list')
  }

  /** Handles the next changes of the list. */
  private async follow (isStopped: () => boolean): Promise<void> {
    const { store, clock, log } = this.options
    const storeSilence = store.silentFor()
    // While the store is lost, the poll returns immediately, so that its return is noticed at once.
    const answer = await store.changes({ table: 'servers', after: this.version, wait: this.isStoreLost ? 0 : FEED_WAIT_MS })
    if (isStopped()) return
    this.isStoreLost = answer.isErr() && answer.error.code !== 'history-lost'
    if (answer.isOk()) {
      if (storeSilence > FEED_WAIT_MS + MIN_OUTAGE_MS) this.outageEndedAt = clock.now()
      for (const row of answer.value.rows) runLogged(() => { this.handleChange(row) }, log, 'instance')
      this.version = answer.value.version
      this.confirmedAt = clock.now()
      if (answer.value.rows.length > 0) await clock.sleep(BATCH_DELAY_MS)
    } else if (answer.error.code === 'history-lost') await this.readAll()
    else await clock.sleep(RETRY_DELAY_MS)
  }

  private async readAll (): Promise<boolean> {
    const answer = await this.options.store.range({ table: 'servers', part: '' })
    if (answer.isErr()) return false
    const present = new Set(answer.value.rows.map(row => row.key))
    for (const id of [...this.states.keys()]) if (!present.has(id)) this.remove(id)
    for (const row of answer.value.rows) runLogged(() => { this.handleRow(row) }, this.options.log, 'instance')
    this.version = answer.value.version
    this.confirmedAt = this.options.clock.now()
    return true
  }

  private handleChange (row: RowChange): void {
    if (!row.deleted) return this.handleRow(row)
    const wait = this.outageEndedAt + ENTRY_RETURN_GRACE_MS - this.options.clock.now()
    if (wait <= 0) return this.remove(row.key)
    const versionSeen = this.version
    this.options.clock.schedule(wait, () => { if (this.versionsBeforeRemoval.get(row.key) === versionSeen) this.remove(row.key) })
    this.versionsBeforeRemoval.set(row.key, versionSeen)
  }

  /** For each entry that was deleted shortly after an outage and may return, the version of the feed before the deletion, by id. */
  private readonly versionsBeforeRemoval = new Map<string, number>()

  private handleRow (row: Row): void {
    this.versionsBeforeRemoval.delete(row.key)
    const { reader, log, onListed } = this.options
    const report = reader.readWorker(row.key, row.value)
    if (report.isErr()) {
      log.write(CELL_EVENTS.badRow, { key: row.key, problem: report.error })
      return
    }
    if (this.states.get(row.key) !== report.value.state) log.write(CELL_EVENTS.workerListed, { worker: row.key, state: report.value.state })
    this.states.set(row.key, report.value.state)
    onListed(report.value)
  }

  private remove (id: string): void {
    this.versionsBeforeRemoval.delete(id)
    if (!this.states.delete(id)) return
    this.options.log.write(CELL_EVENTS.workerListed, { worker: id, state: 'gone' })
    this.options.onGone(id)
  }
}
