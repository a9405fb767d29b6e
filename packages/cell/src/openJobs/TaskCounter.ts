/** Counts the task objects of a decider, so that they stay under a limit. */
export class TaskCounter {
  /** Number of task objects of open jobs. */
  open = 0

  /** @param most - number of task objects above which no further ones are created for tasks that have not been placed */
  constructor (readonly most = Infinity) {}

  /** @returns number of task objects that may still be created */
  get room (): number {
    return Math.max(0, this.most - this.open)
  }
}
