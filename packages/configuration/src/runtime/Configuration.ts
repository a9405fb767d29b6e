import { Err, Ok } from '@rattanstep/core'
import type { Clock, Finding, Incarnation, Message, Network, Random, Result, Row, Table, Timer } from '@rattanstep/core'
import { commitSettled } from '@rattanstep/platform'
import { parseRules } from '@rattanstep/rules'
import type { ResolvedRules } from '@rattanstep/rules'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { decodeRow, encodeRow } from './rulesRow.js'

const POLL_INTERVAL_MS = 1000

/** Minimum time between two requests for rules to the same peer. */
const MIN_REQUEST_INTERVAL_MS = 200

/** File name that findings carry when the caller gives none. */
const DEFAULT_FILE_NAME = 'rules'

/** Source from which this node received a version of the rules. */
export type RulesSource = 'default' | 'table' | 'peer' | 'operator'

/**
 * Why a change of the rules failed.
 * - `findings`: the text is not valid
 * - `conflict`: another change was stored first; `version` is the newest version known
 * - `unavailable`: the change was not stored, because the table cannot be reached
 * - `undecided`: the table did not confirm the change, which may or may not be stored
 */
export type ApplyError =
  | { fault: 'findings', findings: Finding[] }
  | { fault: 'conflict', version: number }
  | { fault: 'unavailable' | 'undecided', message: string }

/** One accepted version of the rules: the text that the operator applied, and the rules parsed from it. */
export interface RulesVersion {
  version: number
  text: string
  rules: ResolvedRules
}

/** Options of `Configuration`. */
export interface ConfigurationOptions {
  cell: string
  self: Incarnation
  table: Table
  network: Network
  clock: Clock
  random: Random
  log: Log
  /** Rules text that is in force while the table holds none. */
  defaults: string
}

/** Called with the new rules after each change of the rules in force. */
export type RulesListener = (current: RulesVersion) => void

/**
 * The rules in force at one node. The table stores their whole text in one row, which is changed by compare-and-set on
 * the row's version. Heartbeats carry the version, so that a node requests newer rules from a peer before it next polls
 * the table. A node never returns to an older version.
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
  /** Newest version that this release could not read; 0 when there was none. */
  private unreadableVersion = 0

  /** @param options - the table that stores the rules, the network to the peers, and the defaults */
  constructor (private readonly options: ConfigurationOptions) {
    this.key = `rules/${options.cell}`
  }

  /** Reads the rules from the table and starts to poll it. Resolves after the first read. */
  async start (): Promise<void> {
    this.pollTimer = this.options.clock.repeat(POLL_INTERVAL_MS, () => { this.pollTable() })
    await this.pollTable()
  }

  /** Stops polling the table. */
  stop (): void {
    this.pollTimer?.cancel()
  }

  /** @returns whether any rules are in force */
  get isReady (): boolean {
    return this.current !== null
  }

  /** @returns the version in force; 0 for the defaults, and before any rules are in force */
  get version (): number {
    return this.current?.version ?? 0
  }

  /**
   * @returns the rules in force
   * @throws Error before any rules are in force
   */
  get value (): RulesVersion {
    if (this.current === null) throw new Error('no rules are in force yet; wait until the node is ready')
    return this.current
  }

  /** @param listener - called after each change of the rules in force */
  onChange (listener: RulesListener): void {
    this.listeners.push(listener)
  }

  /**
   * Requests the rules of a peer that has a newer version. Versions up to one that this release could not read are skipped.
   *
   * @param from - the peer
   * @param version - version in force at the peer
   */
  handlePeerVersion (from: Incarnation, version: number): void {
    if (version > this.version && version > this.unreadableVersion) this.requestRules(from)
  }

  /**
   * Requests the rules of a peer, for instance when this node starts while the table is unreachable. Does nothing when
   * the same peer was asked less than 200 ms ago.
   *
   * @param from - the peer
   */
  requestRules (from: Incarnation): void {
    const { clock, network } = this.options
    const last = this.requestedAt.get(from) ?? -Infinity
    if (clock.now() - last < MIN_REQUEST_INTERVAL_MS) return
    this.requestedAt.set(from, clock.now())
    network.send(from, { kind: 'fetch', what: 'rules' })
  }

  /**
   * Handles messages of kind `rules` and requests for rules.
   *
   * @param from - the sender
   * @param message - a message of any kind
   * @returns whether this class handles messages of that kind
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
   * Validates a new rules text and stores it in the table.
   *
   * @param text - the complete new text
   * @param basedOnVersion - version that the operator edited, or `null` to replace whichever version is stored
   * @param file - file name that findings carry
   * @returns the new version, or why the change failed
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
    if (text === null) this.logUnreadable(row.version, 'the stored row does not match the expected schema', 'table')
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
