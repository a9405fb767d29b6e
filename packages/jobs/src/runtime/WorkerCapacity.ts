import type { Resources } from '@rattanstep/core'

/** The books of what is in use on the workers that this node owns, shared with requests. */
export abstract class WorkerCapacity {
  /**
   * Takes room for a task when there is enough and the rules allow it.
   *
   * @param worker - where
   * @param resources - how much
   * @param workClass - name of the class
   * @param team - name of the team, or empty
   * @param id - identifier of the hold
   * @returns whether the room was taken
   */
  abstract tryHold (worker: string, resources: Resources, workClass: string, team: string, id: string): boolean

  /**
   * Counts what runs on a worker already, past every limit. A second call with the same identifier changes nothing.
   *
   * @param worker - where
   * @param resources - how much
   * @param workClass - name of the class
   * @param team - name of the team, or empty
   * @param id - identifier of the hold
   */
  abstract occupy (worker: string, resources: Resources, workClass: string, team: string, id: string): void

  /**
   * Says that every task found on a worker after a takeover has been counted by `occupy`. Until then no room on it may be
   * given to anything else.
   *
   * @param worker - which worker
   */
  abstract tasksCounted (worker: string): void

  /** @param id - identifier of a hold; one that is not known is ignored */
  abstract release (id: string): void

  /**
   * @param worker - which worker
   * @returns what is free there
   */
  abstract free (worker: string): Resources
}
