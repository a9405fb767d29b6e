import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import type { Configuration } from '../types/configuration.js'
import { CELL_EVENTS } from '../types/events.js'
import type { RecordStore, Row } from '../types/records.js'
import { detach } from './detach.js'
import { repeatWhile } from './repeatWhile.js'

/** Duration of a long poll for changes. A feed can stop delivering changes without an error, and a new version must be in force within 2 s. */
const FEED_WAIT_MS = 1000
/** Delay between attempts while the store does not answer. */
const RETRY_DELAY_MS = 200
/** Key of the row that holds the configuration. */
const CONFIGURATION_KEY = 'config'

/** Follows the operators' configuration. A version that is older than the current one is ignored. */
export class ConfigurationFeed {
  current: Configuration | undefined
  /** Text of the configuration in force, for nodes that the store does not answer. */
  text = ''
  /** Where the configuration in force was read. */
  source: 'store' | 'link' | undefined
  /** The last text that could not be read; it is logged once, however often it is read. */
  private refusedText: string | undefined
  private refreshing: Promise<boolean> | undefined
  /**
   * Monotonic ms: each version that was stored before is in force here, unless it is malformed. It is the time at which the last answered read was sent,
   * because a change feed can stop delivering changes without an error.
   */
  confirmedAt = -Infinity
  private version = 0
  private isStoreLost = false
  private isStopped = false

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, parse: (value: string) => Result<Configuration, string> }) {}

  /** Reads the configuration, with retries until there is one, then follows it in the background. */
  async start (): Promise<void> {
    const { clock, log } = this.options
    const options = { clock, log, step: 'configuration' }
    await repeatWhile(() => !this.isStopped && this.current === undefined, async () => {
      await this.refresh()
      if (this.current === undefined) await clock.sleep(RETRY_DELAY_MS)
    }, options)
    detach(repeatWhile(() => !this.isStopped, async () => { await this.follow() }, options), log, 'configuration')
  }

  stop (): void {
    this.isStopped = true
  }

  /** @returns version of the configuration in force, or 0 if there is none */
  get currentVersion (): number {
    return this.current?.version ?? 0
  }

  /**
   * Reads the configuration again, for example because another node has a newer version. Calls during a read wait for its answer.
   *
   * @returns whether the store has answered
   */
  async refresh (): Promise<boolean> {
    this.refreshing ??= this.read().finally(() => { this.refreshing = undefined })
    return await this.refreshing
  }

  /** Applies the text of a configuration, unless it is malformed or not newer than the version in force. */
  apply (text: string, source: 'store' | 'link'): void {
    const { log, parse } = this.options
    const configuration = parse(text)
    if (configuration.isErr()) {
      if (text !== this.refusedText) log.write(CELL_EVENTS.badRow, { key: CONFIGURATION_KEY, problem: configuration.error })
      this.refusedText = text
      return
    }
    if (this.current !== undefined && configuration.value.version <= this.current.version) return
    this.current = configuration.value
    this.text = text
    this.source = source
    log.write(CELL_EVENTS.configured, { version: this.current.version, routes: this.current.routes.length, source })
  }

  private async read (): Promise<boolean> {
    const sentAt = this.options.clock.now()
    const answer = await this.options.store.range({ table: 'op', part: '' })
    if (answer.isErr()) {
      this.updateStoreState(answer.error.reason)
      return false
    }
    this.updateStoreState(undefined)
    this.version = Math.max(this.version, answer.value.version)
    for (const row of answer.value.rows) this.applyRow(row)
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    return true
  }

  /** Handles the next changes of the configuration. */
  private async follow (): Promise<void> {
    const { store, clock } = this.options
    const sentAt = clock.now()
    // While the store is lost, the poll returns immediately, so that its return is noticed at once.
    const answer = await store.changes({ table: 'op', after: this.version, wait: this.isStoreLost ? 0 : FEED_WAIT_MS })
    if (answer.isOk()) {
      this.updateStoreState(undefined)
      this.version = answer.value.version
      for (const row of answer.value.rows) if (!row.deleted) this.applyRow(row)
      this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    } else if (answer.error.code === 'history-lost') await this.refresh()
    else {
      this.updateStoreState(answer.error.reason)
      await clock.sleep(RETRY_DELAY_MS)
    }
  }

  private applyRow (row: Row): void {
    if (row.key === CONFIGURATION_KEY) this.apply(row.value, 'store')
  }

  private updateStoreState (fault: string | undefined): void {
    const { store, log } = this.options
    if (fault !== undefined && !this.isStoreLost) log.write(CELL_EVENTS.storeLost, { reason: fault, silence: Math.round(store.silentFor()) })
    if (fault === undefined && this.isStoreLost) log.write(CELL_EVENTS.storeRegained, { silence: Math.round(store.silentFor()) })
    this.isStoreLost = fault !== undefined
  }
}
