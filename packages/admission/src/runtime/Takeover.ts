import { PERMIT_VALIDITY_MS } from '@rattanstep/core'
import type { Incarnation } from '@rattanstep/core'

/**
 * What a new owner still has to learn about one worker.
 *
 * A grant of the former owner is used at most `PERMIT_VALIDITY_MS` after it was decided, and it was decided before
 * the former owner's lease ended, hence before the takeover. A report whose figures were taken later than that shows
 * every request that the former owner admitted and that still runs.
 */
export class Takeover {
  /** Whether every task found on the worker has been counted. */
  tasksCounted = false
  private readonly awaiting: Set<Incarnation>

  /**
   * @param options - `worker`: its identifier; `version`: assignment that made this node the owner;
   * `since`: monotonic ms of the takeover; `fronts`: nodes whose permits are asked for
   */
  constructor (readonly options: { worker: string, version: number, since: number, fronts: Incarnation[] }) {
    this.awaiting = new Set(options.fronts)
  }

  /** @returns nodes that have not answered */
  unanswered (): Incarnation[] {
    return [...this.awaiting]
  }

  /**
   * @param front - a node that told its permits
   * @param version - version of the assignment that it follows
   */
  recordAnswer (front: Incarnation, version: number): void {
    if (version >= this.options.version) this.awaiting.delete(front)
  }

  /** @param front - a node that is gone and will not answer */
  removeFront (front: Incarnation): void {
    this.awaiting.delete(front)
  }

  /** @returns whether every node has told its permits and every task has been counted */
  get complete (): boolean {
    return this.tasksCounted && this.awaiting.size === 0
  }

  /**
   * @param takenAt - monotonic ms at which the figures of a report were taken
   * @returns whether the report shows all that the former owner admitted
   */
  isConclusive (takenAt: number): boolean {
    return takenAt >= this.options.since + PERMIT_VALIDITY_MS
  }
}
