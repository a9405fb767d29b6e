import { Err, Ok } from '@rattanstep/core'
import type { Clock, Finding, Incarnation, Message, Network, Random, Result, Row, Table, Timer } from '@rattanstep/core'
import { commitSettled } from '@rattanstep/platform'
import { parseRules } from '@rattanstep/rules'
import type { ResolvedRules } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { decodeRow, encodeRow } from './rulesRow.js'

/** Milliseconds between looks at the table. */
const POLL_INTERVAL_MS = 1000

/** Least milliseconds between two requests to one peer. */
const MIN_REQUEST_INTERVAL_MS = 200

/** Name of the rules in findings when no file is known. */
const DEFAULT_FILE_NAME = 'rules'

/** Where a version of the rules came from. */
export type RulesSource = 'default' | 'table' | 'peer' | 'operator'

/** Why a change was not accepted. `undecided`: it may have been. */
export type ApplyError =
  | { fault: 'findings', findings: Finding[] }
  | { fault: 'conflict', version: number }
  | { fault: 'unavailable' | 'undecided', message: string }

/** One accepted version of the operators' text. */
export interface RulesVersion {
  version: number
  text: string
  rules: ResolvedRules
}

/** What a configuration is made of. */
export interface ConfigurationOptions {
  cell: string
  self: Incarnation
  table: Table
  network: Network
  clock: Clock
  random: Random
  log: Log
  /** Text in force while the table has none. */
  defaults: string
}

/** Called when other rules come into force. */
export type RulesListener = (current: RulesVersion) => void

/**
 * The rules in force at one node. They are stored whole as one row, changed by compare-and-set on its version, and
 * spread between nodes by the version that heartbeats carry. A node never goes back to an older version.
 */
export class Configuration {
  private current: RulesVersion | null = null
  private readonly key: string
  private readonly listeners: RulesListener[] = []
  private readonly requestedAt = new Map<Incarnation, number>()
  private pollTimer: Timer | null = null
  private isPolling = false
  private tableLostAt: number | null = null
  private operationCount = 0
  private unreadableVersion = 0

  /** @param options - where rules are kept and how nodes hear of them */
  constructor (private readonly options: ConfigurationOptions) {
    this.key = `rules/${options.cell}`
  }

  /** Reads the table once and then again and again. */
  async start (): Promise<void> {
    this.pollTimer = this.options.clock.repeat(POLL_INTERVAL_MS, () => { this.pollTable() })
    await this.pollTable()
  }

  /** Ends the looks at the table. */
  stop (): void {
    this.pollTimer?.cancel()
  }

  /** @returns whether any rules are in force */
  get isReady (): boolean {
    return this.current !== null
  }

  /** @returns version in force; 0 for the defaults or none */
  get version (): number {
    return this.current?.version ?? 0
  }

  /** @returns the rules in force */
  get value (): RulesVersion {
    if (this.current === null) throw new Error('no rules are in force yet; wait until the node is ready')
    return this.current
  }

  /** @param listener - called after each change of the rules in force */
  onChange (listener: RulesListener): void {
    this.listeners.push(listener)
  }

  /**
   * Reacts to the version that another node follows.
   *
   * @param from - the other node
   * @param version - its version
   */
  handlePeerVersion (from: Incarnation, version: number): void {
    if (version > this.version && version > this.unreadableVersion) this.requestRules(from)
  }

  /**
   * Asks a node for its rules, for instance at a start while the table is down.
   *
   * @param from - the other node
   */
  requestRules (from: Incarnation): void {
    const { clock, network } = this.options
    const last = this.requestedAt.get(from) ?? -Infinity
    if (clock.now() - last < MIN_REQUEST_INTERVAL_MS) return
    this.requestedAt.set(from, clock.now())
    network.send(from, { kind: 'fetch', what: 'rules' })
  }

  /**
   * @param from - sender
   * @param message - any message
   * @returns whether it was one for this module
   */
  receive (from: Incarnation, message: Message): boolean {
    if (message.kind === 'rules') {
      this.adopt(message.version, message.text, 'peer')
      return true
    }
    if (message.kind !== 'fetch' || message.what !== 'rules') return false
    if (this.current === null) return true
    const { version, text } = this.current
    this.options.network.send(from, { kind: 'rules', version, text })
    return true
  }

  /**
   * Replaces the rules.
   *
   * @param text - the operators' whole text
   * @param basedOnVersion - version that the text was made from, or `null` for whichever is newest
   * @param file - name of the text in findings
   * @returns the new version, or why there is none
   */
  async apply (text: string, basedOnVersion: number | null, file = DEFAULT_FILE_NAME): Promise<Result<number, ApplyError>> {
    const parsed = parseRules(text, { file })
    if (parsed.isErr()) return this.refuse({ fault: 'findings', findings: parsed.error })
    const baseVersion = basedOnVersion ?? await this.readStoredVersion()
    if (baseVersion === null) return this.refuse({ fault: 'unavailable', message: 'the table does not answer; try again once it does' })
    const { self, table, clock, random } = this.options
    const operation = `${self}/rules/${++this.operationCount}`
    const checks = [{ key: this.key, version: baseVersion }]
    const writes = [{ key: this.key, value: encodeRow({ text, operation }) }]
    const settlement = await commitSettled(table, { operation, checks, writes }, { clock, random })
    if (settlement.outcome === 'conflict') return this.refuse({ fault: 'conflict', version: await this.readStoredVersion() ?? this.version })
    if (settlement.outcome !== 'committed') return this.refuse({ fault: settlement.outcome, message: settlement.message })
    const { classes, routes } = parsed.value
    this.options.log.write(EVENTS.applied, { version: baseVersion + 1, classes: classes.length, routes: routes.length })
    this.adopt(baseVersion + 1, text, 'operator')
    return Ok(baseVersion + 1)
  }

  private refuse (error: ApplyError): Result<number, ApplyError> {
    const findings = error.fault === 'findings' ? error.findings.length : 0
    this.options.log.write(EVENTS.refused, { reason: error.fault, findings, version: this.version })
    return Err(error)
  }

  private async readStoredVersion (): Promise<number | null> {
    const rows = await this.options.table.read([this.key])
    if (rows.isErr()) return null
    return rows.value[0]?.version ?? 0
  }

  private async pollTable (): Promise<void> {
    if (this.isPolling) return
    this.isPolling = true
    try {
      const rows = await this.options.table.read([this.key])
      if (rows.isErr()) this.logTableLost(rows.error.message)
      else this.applyRow(rows.value[0])
    } finally {
      this.isPolling = false
    }
  }

  private applyRow (row: Row | undefined): void {
    this.logTableBack()
    if (row === undefined) {
      if (this.current === null) this.adopt(0, this.options.defaults, 'default')
      return
    }
    if (row.version <= this.version) return
    const text = decodeRow(row.value)
    if (text === null) this.logUnreadable(row.version, 'the row has another shape', 'table')
    else this.adopt(row.version, text, 'table')
  }

  private adopt (version: number, text: string, source: RulesSource): void {
    if (this.current !== null && version <= this.current.version) return
    const parsed = parseRules(text, { file: DEFAULT_FILE_NAME })
    if (parsed.isErr()) {
      this.logUnreadable(version, parsed.error[0]?.message ?? '', source)
      return
    }
    const previous = this.version
    this.current = { version, text, rules: parsed.value }
    this.options.log.write(EVENTS.adopted, { version, previous, source })
    for (const listener of this.listeners) listener(this.current)
  }

  private logUnreadable (version: number, finding: string, source: RulesSource): void {
    if (version <= this.unreadableVersion) return
    this.unreadableVersion = version
    this.options.log.write(EVENTS.unreadable, { version, finding, source })
  }

  private logTableLost (message: string): void {
    if (this.tableLostAt !== null) return
    this.tableLostAt = this.options.clock.now()
    this.options.log.write(EVENTS.tableLost, { message, version: this.version })
  }

  private logTableBack (): void {
    if (this.tableLostAt === null) return
    const outageDuration = this.options.clock.now() - this.tableLostAt
    this.tableLostAt = null
    this.options.log.write(EVENTS.tableBack, { lost: outageDuration, version: this.version })
  }
}
