import type { ResourceVector } from '../types/sharing.js'

/** What is left of an organisation's cap during one round of planning. */
export class CapBudget {
  private readonly left: ResourceVector

  /**
   * @param cap - what the organisation may have running; 0 means no limit
   * @param usage - what it has running, including what is being stopped
   */
  constructor (cap: ResourceVector, usage: ResourceVector) {
    this.left = { cpu: remaining(cap.cpu, usage.cpu), memory: remaining(cap.memory, usage.memory), accelerators: remaining(cap.accelerators, usage.accelerators) }
  }

  /**
   * @param size - resources of a task
   * @returns number of such tasks that may start, `Infinity` without a limit
   */
  countFitting (size: ResourceVector): number {
    const counts = [fitting(this.left.cpu, size.cpu), fitting(this.left.memory, size.memory), fitting(this.left.accelerators, size.accelerators)]
    return Math.max(0, Math.min(...counts))
  }

  /** Deducts tasks that are about to start. */
  take (size: ResourceVector, tasks: number): void {
    this.left.cpu -= tasks * size.cpu
    this.left.memory -= tasks * size.memory
    this.left.accelerators -= tasks * size.accelerators
  }
}

/**
 * @param size - resources of each task
 * @param tasks - number of tasks that run at the same time
 * @param cap - a cap; 0 means no limit
 * @returns whether the tasks can ever run together under the cap
 */
export function fitsUnderCap (size: ResourceVector, tasks: number, cap: ResourceVector): boolean {
  return new CapBudget(cap, { cpu: 0, memory: 0, accelerators: 0 }).countFitting(size) >= tasks
}

function remaining (cap: number, usage: number): number {
  return cap === 0 ? Infinity : cap - usage
}

function fitting (left: number, size: number): number {
  return size === 0 || left === Infinity ? Infinity : Math.floor(left / size)
}
