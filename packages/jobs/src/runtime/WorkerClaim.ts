import { Chart } from '@rattanstep/core'
import type { ChartFile } from '@rattanstep/core'
import keeperChart from '../charts/keeper.json' with { type: 'json' }
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { KEEPER_ROW, keeperKey } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import type { TableWriter } from './TableWriter.js'

type KeeperState = 'claiming' | 'counting' | 'keeping'
type KeeperEvent = 'claimed' | 'counted' | 'disputed'

const CHART = new Chart<KeeperState, KeeperEvent>(keeperChart as ChartFile)

/** Earlier claims of this node that are recognised as its own. */
const MAX_NONCES = 64

/**
 * The claim of one node on the tasks of one worker. Every change of a placement on the worker checks the version of the
 * keeper row, so that a claim puts an end to whatever the former keeper had under way.
 */
export class KeeperClaim {
  state: KeeperState = CHART.initial
  /** Version of the keeper row while the state is not `claiming`. */
  version = 0
  /** When the first claim was known to have taken effect; `null` before. */
  since: number | null = null
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly worker: string
  private readonly nonces = new Set<string>()
  private nonce = ''

  /** @param options - `worker`: whose tasks are claimed */
  constructor (options: { context: Context, writer: TableWriter, worker: string }) {
    this.context = options.context
    this.writer = options.writer
    this.worker = options.worker
    this.renew()
  }

  /** @param event - what happened; one that the chart does not allow changes nothing */
  step (event: KeeperEvent): void {
    this.state = CHART.next(this.state, event) ?? this.state
  }

  /** Makes the next claim a new version, which ends whatever holds were given under the present one. */
  renew (): void {
    this.nonce = `${this.context.self}~${this.context.random.integer(2 ** 48).toString(36)}`
    this.nonces.add(this.nonce)
    if (this.nonces.size > MAX_NONCES) this.nonces.delete([...this.nonces][0]!)
    this.step('disputed')
  }

  /**
   * @param mayClaim - whether this node may still act for the worker
   * @returns whether the claim is in effect
   */
  async ensure (mayClaim: () => boolean): Promise<boolean> {
    if (this.state !== 'claiming') return true
    const key = keeperKey(this.worker)
    const rows = await this.context.table.read([key])
    if (rows.isErr()) return false
    const row = rows.value[0]
    if (row === undefined) return await this.write(0, mayClaim)
    const content = parseRow(row, KEEPER_ROW)
    if (content.isErr()) {
      this.context.log.write(EVENTS.badRow, { key, problem: content.error })
      return false
    }
    if (!this.nonces.has(content.value.claim)) this.since = null
    if (content.value.claim === this.nonce) return this.accept(row.version)
    return await this.write(row.version, mayClaim)
  }

  /**
   * Looks whether the claim still stands.
   *
   * @returns whether the keeper row is as this node wrote it
   */
  async confirm (): Promise<boolean> {
    const rows = await this.context.table.read([keeperKey(this.worker)])
    if (rows.isErr() || this.state === 'claiming') return false
    if (rows.value[0]?.version === this.version) return true
    this.step('disputed')
    return false
  }

  private async write (version: number, mayClaim: () => boolean): Promise<boolean> {
    if (!mayClaim()) return false
    const key = keeperKey(this.worker)
    const { nonce } = this
    const value = JSON.stringify({ keeper: this.context.self, claim: nonce })
    const settlement = await this.writer.write({ checks: [{ key, version }], writes: [{ key, value }] })
    if (settlement.outcome !== 'committed' || nonce !== this.nonce) return false
    return this.accept(version + 1)
  }

  private accept (version: number): boolean {
    this.version = version
    this.since ??= this.context.clock.now()
    this.step('claimed')
    return true
  }
}
