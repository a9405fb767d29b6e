import { Chart } from '@rattanstep/core'
import type { ChartFile } from '@rattanstep/core'
import claimChart from '../charts/keeper.json' with { type: 'json' }
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { CLAIM_ROW, claimKey } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import type { TableWriter } from './TableWriter.js'

/**
 * - `claiming`: the claim row must be written before this node may change placements on the worker
 * - `counting`: the claim is in effect, and the placements on the worker are still being read
 * - `keeping`: the placements have been read since the claim took effect, so that new tasks may be placed
 */
type ClaimState = 'claiming' | 'counting' | 'keeping'
type ClaimEvent = 'claimed' | 'counted' | 'disputed'

const CHART = new Chart<ClaimState, ClaimEvent>(claimChart as ChartFile)

/** Number of recent nonces by which this node recognises claims as its own. */
const MAX_NONCES = 64

/**
 * The claim of this node on the tasks of one worker, stored in the row `keeper/WORKER`. Every transaction that changes a
 * placement on the worker checks the version of this row, so that a new claim invalidates all transactions that the
 * previous node still has in flight.
 */
export class WorkerClaim {
  state: ClaimState = CHART.initial
  /** Version of the claim row; valid unless the state is `claiming`. */
  version = 0
  /** Time at which this node learned that its first claim took effect; `null` before, and again after a claim of another node. */
  claimedAt: number | null = null
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly worker: string
  private readonly nonces = new Set<string>()
  private nonce = ''

  /** @param options - `worker`: identifier of the worker whose tasks are claimed */
  constructor (options: { context: Context, writer: TableWriter, worker: string }) {
    this.context = options.context
    this.writer = options.writer
    this.worker = options.worker
    this.requireNewClaim()
  }

  /** @param event - event to apply; an event that the chart does not allow in the present state is ignored */
  transition (event: ClaimEvent): void {
    this.state = CHART.next(this.state, event) ?? this.state
  }

  /** Requires a new claim. Its new version invalidates all holds that were granted under the present version. */
  requireNewClaim (): void {
    this.nonce = `${this.context.self}~${this.context.random.integer(2 ** 48).toString(36)}`
    this.nonces.add(this.nonce)
    if (this.nonces.size > MAX_NONCES) this.nonces.delete([...this.nonces][0]!)
    this.transition('disputed')
  }

  /**
   * Writes the claim row unless the claim is in effect already.
   *
   * @param mayAct - whether this node may still act for the worker
   * @returns whether the claim is in effect
   */
  async ensure (mayAct: () => boolean): Promise<boolean> {
    if (this.state !== 'claiming') return true
    const key = claimKey(this.worker)
    const rows = await this.context.table.read([key])
    if (rows.isErr()) return false
    const row = rows.value[0]
    if (row === undefined) return await this.writeClaim(0, mayAct)
    const content = parseRow(row, CLAIM_ROW)
    if (content.isErr()) {
      this.context.log.write(EVENTS.badRow, { key, problem: content.error })
      return false
    }
    if (!this.nonces.has(content.value.claim)) this.claimedAt = null
    if (content.value.claim === this.nonce) return this.accept(row.version)
    return await this.writeClaim(row.version, mayAct)
  }

  /**
   * Reads the claim row again. A claim of another node returns the state to `claiming`.
   *
   * @returns whether the claim row still has the version that this node wrote
   */
  async confirm (): Promise<boolean> {
    const rows = await this.context.table.read([claimKey(this.worker)])
    if (rows.isErr() || this.state === 'claiming') return false
    if (rows.value[0]?.version === this.version) return true
    this.transition('disputed')
    return false
  }

  private async writeClaim (version: number, mayAct: () => boolean): Promise<boolean> {
    if (!mayAct()) return false
    const key = claimKey(this.worker)
    const { nonce } = this
    const value = JSON.stringify({ keeper: this.context.self, claim: nonce })
    const settlement = await this.writer.write({ checks: [{ key, version }], writes: [{ key, value }] })
    if (settlement.outcome !== 'committed' || nonce !== this.nonce) return false
    return this.accept(version + 1)
  }

  private accept (version: number): boolean {
    this.version = version
    this.claimedAt ??= this.context.clock.now()
    this.transition('claimed')
    return true
  }
}
