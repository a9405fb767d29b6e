import type { Size, Step } from '../types/job.js'
import { reservedSize } from './Registry.js'
import type { StepState, WorkerState } from './model.js'

/**
 * Number of `mayFit` calls after which the maximum is computed again, which visits every worker. A small cell has about this many workers,
 * so that the computation costs about one visit for each call.
 */
const CHECKS_PER_REFRESH = 16

/** Free capacity of a worker during one round of planning. */
export interface Slot {
  worker: WorkerState
  free: Size
  /** Number of tasks of the current step that this round places on the worker. */
  placedTasks: number
}

/** Free capacity of the workers of one service, reduced by the placements of one round of planning. */
export class CapacitySnapshot {
  readonly slots: Slot[]
  /** Maximum over the workers of each free resource, possibly outdated: during a round the true values only decrease. */
  private maxFree: Size
  private checks = 0

  /**
   * @param workers - workers on which tasks may be placed
   */
  constructor (workers: WorkerState[]) {
    this.slots = workers.map(worker => ({ worker, free: freeCapacity(worker), placedTasks: 0 }))
    this.maxFree = this.computeMaxFree()
  }

  /**
   * @param step - a step
   * @returns `false` if a task of the step certainly fits on no worker
   */
  mayFit (step: Step): boolean {
    const size = reservedSize(step)
    if (++this.checks % CHECKS_PER_REFRESH === 0) this.maxFree = this.computeMaxFree()
    return size.cpu <= this.maxFree.cpu && size.memory <= this.maxFree.memory && size.accelerators <= this.maxFree.accelerators
  }

  private computeMaxFree (): Size {
    const maxFree = { cpu: 0, memory: 0, accelerators: 0 }
    for (const { free } of this.slots) {
      maxFree.cpu = Math.max(maxFree.cpu, free.cpu)
      maxFree.memory = Math.max(maxFree.memory, free.memory)
      maxFree.accelerators = Math.max(maxFree.accelerators, free.accelerators)
    }
    return maxFree
  }
}

/** @returns the resources of a worker that are not reserved */
export function freeCapacity (worker: WorkerState): Size {
  const { capacity } = worker.report
  return {
    cpu: capacity.cpu - worker.used.cpu,
    memory: capacity.memory - worker.used.memory,
    accelerators: capacity.accelerators - worker.used.accelerators
  }
}

/**
 * @param free - available resources
 * @param step - a step
 * @returns number of tasks of the step that fit
 */
export function countFitting (free: Size, step: Step): number {
  const size = reservedSize(step)
  let count = Infinity
  if (size.cpu > 0) count = Math.min(count, Math.floor(free.cpu / size.cpu))
  if (size.memory > 0) count = Math.min(count, Math.floor(free.memory / size.memory))
  if (size.accelerators > 0) count = Math.min(count, Math.floor(free.accelerators / size.accelerators))
  return Math.max(0, count)
}

/**
 * @param slot - free capacity of a worker
 * @param step - a step
 * @returns number of further tasks of the step that may be placed on the worker
 */
export function taskCapacity (slot: Slot, step: StepState): number {
  const fitting = countFitting(slot.free, step.definition)
  const { perWorker } = step.definition
  if (perWorker === undefined || fitting === 0) return fitting
  let present = 0
  for (const task of slot.worker.tasks.values()) if (task.step === step) present++
  return Math.max(0, Math.min(fitting, perWorker - present - slot.placedTasks))
}

/** Reserves the capacity for a number of tasks in a slot; a negative number releases it. */
export function reserveCapacity (slot: Slot, step: Step, tasks = 1): void {
  const size = reservedSize(step)
  slot.free.cpu -= tasks * size.cpu
  slot.free.memory -= tasks * size.memory
  slot.free.accelerators -= tasks * size.accelerators
}
