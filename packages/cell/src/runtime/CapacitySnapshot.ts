import type { Size, Step } from '../types/job.js'
import { reservedSize } from './Registry.js'
import type { StepState, WorkerState } from './model.js'

/** Steps after which the most that is left is looked for again: about as many as there are workers in a small cell. */
const CHECKS_PER_REFRESH = 16

/** A worker's room during one round of planning. */
export interface Slot {
  worker: WorkerState
  free: Size
  /** Tasks of the step in hand that this round places here. */
  placedTasks: number
}

/** Free room of the workers of one service, worked on by one round of planning. */
export class CapacitySnapshot {
  readonly slots: Slot[]
  /** The most that any worker has left of each, which only shrinks during a round. */
  private maxFree: Size
  private checks = 0

  /**
   * @param workers - workers that may be given work
   */
  constructor (workers: WorkerState[]) {
    this.slots = workers.map(worker => ({ worker, free: freeCapacity(worker), placedTasks: 0 }))
    this.maxFree = this.computeMaxFree()
  }

  /**
   * @param step - whose tasks
   * @returns whether a task might fit on some worker; `false` is certain
   */
  mayFit (step: Step): boolean {
    const size = reservedSize(step)
    if (++this.checks % CHECKS_PER_REFRESH === 0) this.maxFree = this.computeMaxFree()
    return size.cpu <= this.maxFree.cpu && size.memory <= this.maxFree.memory && size.accelerators <= this.maxFree.accelerators
  }

  private computeMaxFree (): Size {
    const most = { cpu: 0, memory: 0, accelerators: 0 }
    for (const { free } of this.slots) {
      most.cpu = Math.max(most.cpu, free.cpu)
      most.memory = Math.max(most.memory, free.memory)
      most.accelerators = Math.max(most.accelerators, free.accelerators)
    }
    return most
  }
}

/** @returns what a worker has left */
export function freeCapacity (worker: WorkerState): Size {
  const { capacity } = worker.report
  return {
    cpu: capacity.cpu - worker.used.cpu,
    memory: capacity.memory - worker.used.memory,
    accelerators: capacity.accelerators - worker.used.accelerators
  }
}

/**
 * @param free - room
 * @param step - whose tasks
 * @returns how many tasks fit
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
 * @param slot - room on a worker
 * @param step - a step
 * @returns how many more tasks of the step the worker may take
 */
export function taskCapacity (slot: Slot, step: StepState): number {
  const fitting = countFitting(slot.free, step.definition)
  const { perWorker } = step.definition
  if (perWorker === undefined || fitting === 0) return fitting
  let present = 0
  for (const task of slot.worker.tasks.values()) if (task.step === step) present++
  return Math.max(0, Math.min(fitting, perWorker - present - slot.placedTasks))
}

/** Takes room of one task, or of several, out of a slot. */
export function reserveCapacity (slot: Slot, step: Step, tasks = 1): void {
  const size = reservedSize(step)
  slot.free.cpu -= tasks * size.cpu
  slot.free.memory -= tasks * size.memory
  slot.free.accelerators -= tasks * size.accelerators
}
