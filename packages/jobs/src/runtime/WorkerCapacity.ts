import type { Resources } from '@rattanstep/core'

/** The capacity in use on the workers that this node owns. Tasks and requests draw on the same capacity. */
export abstract class WorkerCapacity {
  /**
   * Holds capacity for a task if enough is free and the rules allow it.
   *
   * @param worker - identifier of the worker
   * @param resources - resources of the task
   * @param workClass - name of the task's class
   * @param team - name of the team, or empty
   * @param id - identifier of the hold
   * @returns whether the capacity is held
   */
  abstract tryHold (worker: string, resources: Resources, workClass: string, team: string, id: string): boolean

  /**
   * Records capacity that a running task uses already, regardless of limits. Repeated calls with the same identifier have
   * no effect.
   *
   * @param worker - identifier of the worker
   * @param resources - resources of the task
   * @param workClass - name of the task's class
   * @param team - name of the team, or empty
   * @param id - identifier of the hold
   */
  abstract occupy (worker: string, resources: Resources, workClass: string, team: string, id: string): void

  /**
   * Reports that `occupy` has been called for every task found on a worker after a takeover. Until then, no capacity of the
   * worker may be given to anything else.
   *
   * @param worker - identifier of the worker
   */
  abstract tasksCounted (worker: string): void

  /** @param id - identifier of a hold; unknown identifiers are ignored */
  abstract release (id: string): void

  /**
   * @param worker - identifier of a worker
   * @returns free resources of the worker
   */
  abstract free (worker: string): Resources
}
