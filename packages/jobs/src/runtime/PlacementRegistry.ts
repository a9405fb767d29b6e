import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { PLACEMENT_ROW, placementPrefix } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import { Placement } from './Placement.js'

const PAGE_ROWS = 500

/** The tasks that the table places on one worker. */
export class PlacementRegistry {
  private readonly context: Context
  private readonly worker: string
  private readonly placements = new Map<string, Placement>()

  /** @param options - `worker`: identifier of the worker */
  constructor (options: { context: Context, worker: string }) {
    this.context = options.context
    this.worker = options.worker
  }

  all (): Placement[] {
    return [...this.placements.values()]
  }

  /**
   * @param name - name of a task
   * @param fence - fencing token of a placement of the task
   * @returns whether the table places the task on this worker with this fencing token
   */
  has (name: string, fence: number): boolean {
    return this.placements.has(`${name}@${fence}`)
  }

  /**
   * Reads the placements from the table and records the capacity that they use. Rows that do not match their schema are
   * logged and skipped.
   *
   * @returns whether the table answered
   */
  async refresh (): Promise<boolean> {
    const rows = await this.readAll()
    if (rows === null) return false
    for (const row of rows.values()) this.add(row)
    for (const [key, placement] of this.placements) {
      if (!rows.has(key)) this.remove(placement)
    }
    return true
  }

  /** @param placement - a placement that has ended; its capacity is released */
  remove (placement: Placement): void {
    this.placements.delete(placement.key)
    this.context.capacity.release(placement.row.hold)
  }

  private add (found: Placement): void {
    const existing = this.placements.get(found.key)
    if (existing !== undefined) {
      existing.intent = found.intent
      return
    }
    this.placements.set(found.key, found)
    const { row } = found
    this.context.capacity.occupy(this.worker, row.resources, row.class, row.team, row.hold)
  }

  private async readAll (): Promise<Map<string, Placement> | null> {
    const found = new Map<string, Placement>()
    let after: string | undefined
    for (;;) {
      const rows = await this.context.table.list({ prefix: placementPrefix(this.worker), after, limit: PAGE_ROWS })
      if (rows.isErr()) return null
      for (const row of rows.value) {
        const content = parseRow(row, PLACEMENT_ROW)
        if (content.isErr()) {
          this.context.log.write(EVENTS.badRow, { key: row.key, problem: content.error })
          continue
        }
        const placement = new Placement(content.value)
        found.set(placement.key, placement)
      }
      if (rows.value.length < PAGE_ROWS) return found
      after = rows.value.at(-1)?.key
    }
  }
}
