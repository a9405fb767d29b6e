import type { PlacementRow } from '../types/rows.js'
import { taskName } from '../types/rows.js'
import type { TaskEvent } from '../types/job.js'

/** A task that the table places on a worker, with what the supervisor of the worker knows about it. */
export class Placement {
  readonly row: PlacementRow
  /** Name of the task in commands to the worker. */
  readonly name: string
  intent: PlacementRow['intent']
  /** Time at which the worker confirmed that it runs the task; `null` before. */
  confirmedAt: number | null = null
  /** Time from which the validity and the lease of the last start or renewal command are counted; `null` when none was sent. */
  lastCommandAt: number | null = null
  /** Number of start commands that the worker refused. */
  refusals = 0
  /** Event that ends the placement. Once it is set, the task is never started or renewed again at this fence. */
  endEvent: TaskEvent | null = null
  /** Key of the object that holds the newest checkpoint, or empty. */
  checkpoint: string

  /** @param row - content of the placement row */
  constructor (row: PlacementRow) {
    this.row = row
    this.name = taskName(row.job, row.index)
    this.intent = row.intent
    this.checkpoint = row.checkpoint
  }

  /** Identifies the placement by task and fence. */
  get key (): string {
    return `${this.name}@${this.row.fence}`
  }
}
