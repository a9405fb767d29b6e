import { PERMIT_VALIDITY_MS } from '@rattanstep/core'
import type { Incarnation } from '@rattanstep/core'

/**
 * The takeover of one worker: what the new owner has yet to learn about it.
 *
 * A front uses a grant of the previous owner at most `PERMIT_VALIDITY_MS` after it was decided, and the previous owner
 * decided it before its lease ended, hence before the takeover. A report whose figures were taken at least that long after
 * the takeover therefore shows every request that the previous owner admitted and that still runs.
 */
export class Takeover {
  /** Whether every task found on the worker has been counted. */
  tasksCounted = false
  private readonly awaiting: Set<Incarnation>

  /**
   * @param options - `worker`: identifier of the worker; `version`: version of the assignment that made this node the owner;
   * `since`: monotonic time of the takeover in ms; `fronts`: nodes that are asked for their permits
   */
  constructor (readonly options: { worker: string, version: number, since: number, fronts: Incarnation[] }) {
    this.awaiting = new Set(options.fronts)
  }

  /** @returns nodes that have not reported their permits */
  unanswered (): Incarnation[] {
    return [...this.awaiting]
  }

  /**
   * Records that a node reported its permits. A report under an older assignment does not count.
   *
   * @param front - the node
   * @param version - version of the assignment that it follows
   */
  recordAnswer (front: Incarnation, version: number): void {
    if (version >= this.options.version) this.awaiting.delete(front)
  }

  /** @param front - a node that was lost and will not answer */
  removeFront (front: Incarnation): void {
    this.awaiting.delete(front)
  }

  /** @returns whether every node has reported its permits and every task has been counted */
  get complete (): boolean {
    return this.tasksCounted && this.awaiting.size === 0
  }

  /**
   * @param takenAt - monotonic time in ms at which the figures of a report were taken
   * @returns whether the report shows everything that the previous owner admitted
   */
  isConclusive (takenAt: number): boolean {
    return takenAt >= this.options.since + PERMIT_VALIDITY_MS
  }
}
