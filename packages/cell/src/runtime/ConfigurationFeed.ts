import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import type { Configuration } from '../types/configuration.js'
import { CELL_EVENTS } from '../types/events.js'
import type { RecordStore, Row } from '../types/records.js'
import { detach } from './detach.js'

/** ms that a question for changes may wait; a feed can go deaf without a word, and a version must be in force within 2 s. */
const FEED_WAIT = 1000
/** ms between attempts when the store does not answer. */
const RETRY_DELAY = 200

/** Follows the operators' configuration; never goes back to an older version. */
export class ConfigurationFeed {
  current: Configuration | undefined
  private version = 0
  private storeLost = false
  private stopped = false

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, read: (value: string) => Result<Configuration, string> }) {}

  /** Reads the configuration until there is one, then follows it in the background. */
  async start (): Promise<void> {
    while (!this.stopped && this.current === undefined) {
      await this.refresh()
      if (this.current === undefined) await this.options.clock.sleep(RETRY_DELAY)
    }
    detach(this.follow(), this.options.log, 'configuration')
  }

  stop (): void {
    this.stopped = true
  }

  /** Reads the row again, for instance because another node knows of a newer version. */
  async refresh (): Promise<void> {
    const answer = await this.options.store.range({ table: 'op', part: '' })
    if (answer.isErr()) return this.noteStore(answer.error.reason)
    this.noteStore(undefined)
    this.version = Math.max(this.version, answer.value.version)
    for (const row of answer.value.rows) this.take(row)
  }

  private async follow (): Promise<void> {
    const { store, clock } = this.options
    while (!this.stopped) {
      // A store that comes back is heard of at once when the question does not wait for a change.
      const answer = await store.changes({ table: 'op', after: this.version, wait: this.storeLost ? 0 : FEED_WAIT })
      if (answer.isOk()) {
        this.noteStore(undefined)
        this.version = answer.value.version
        for (const row of answer.value.rows) if (!row.deleted) this.take(row)
      } else if (answer.error.code === 'history-lost') await this.refresh()
      else {
        this.noteStore(answer.error.reason)
        await clock.sleep(RETRY_DELAY)
      }
    }
  }

  private take (row: Row): void {
    if (row.key !== 'config') return
    const { log, read } = this.options
    const configuration = read(row.value)
    if (configuration.isErr()) {
      log.write(CELL_EVENTS.badRow, { key: row.key, problem: configuration.error })
      return
    }
    if (this.current !== undefined && configuration.value.version <= this.current.version) return
    this.current = configuration.value
    log.write(CELL_EVENTS.configured, { version: this.current.version, routes: this.current.routes.length, source: 'store' })
  }

  private noteStore (fault: string | undefined): void {
    const { store, log } = this.options
    if (fault !== undefined && !this.storeLost) log.write(CELL_EVENTS.storeLost, { reason: fault, silence: Math.round(store.silence()) })
    if (fault === undefined && this.storeLost) log.write(CELL_EVENTS.storeRegained, { silence: Math.round(store.silence()) })
    this.storeLost = fault !== undefined
  }
}
