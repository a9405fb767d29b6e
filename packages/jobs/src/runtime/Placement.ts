import type { PlacementRow } from '../types/rows.js'
import { taskName } from '../types/rows.js'
import type { TaskEvent } from '../types/job.js'

/** A task that the table places on a worker, as its keeper sees it. */
export class Placement {
  readonly row: PlacementRow
  /** Name of the task towards the worker. */
  readonly name: string
  intent: PlacementRow['intent']
  /** When the worker said that it has started the task; `null` before. */
  confirmedAt: number | null = null
  /** When the last command that may run the task was sent; `null` when none was. */
  lastCommandAt: number | null = null
  /** Starts that the worker refused. */
  refusals = 0
  /** How the placement ends. Once set, the task is never started or renewed again at this fence. */
  endEvent: TaskEvent | null = null
  /** Object with the newest checkpoint, or empty. */
  checkpoint: string

  /** @param row - the row as read */
  constructor (row: PlacementRow) {
    this.row = row
    this.name = taskName(row.job, row.index)
    this.intent = row.intent
    this.checkpoint = row.checkpoint
  }

  /** Names the placement. */
  get key (): string {
    return `${this.name}@${this.row.fence}`
  }
}
