import type { Size, Step } from '../types/job.js'
import { forecastReleases } from './forecastReleases.js'
import type { Release } from './forecastReleases.js'
import { reservedSize } from './Registry.js'
import type { StepState, WorkerState } from './model.js'

/**
 * Number of `mayFit` calls after which the maximum is computed again, which visits every worker. A small cell has about this many workers,
 * so that the computation costs about one visit for each call.
 */
const CHECKS_PER_REFRESH = 16
/** Share of the capacity in use below which every task that has room must start soon, as specified by the platform. */
const MOSTLY_FREE_RATIO = 0.5
/** Time for which a step respects what is held for gangs while most of the capacity is free. The platform allows a wait of 3 s. */
const MAX_HELD_UP_MS = 2000

/** Maximum number of tasks on a worker. Of tasks that need no resources, any number would fit. */
export const MAX_TASKS_PER_WORKER = 1000

/** Capacity of a worker that is kept for a gang. */
export interface SlotHold {
  /** The gang. */
  owner: StepState
  /** Priority of the gang's route; steps of a more urgent priority may use the capacity. */
  priority: number
  /** Monotonic ms at which the gang is expected to start; tasks that end before may use the capacity. */
  startAt: number
  /** Part of the free capacity that all others leave free. */
  blocked: Size
}

/** Free capacity of a worker during one round of planning. */
export class Slot {
  free: Size
  /** Number of tasks of a step that this round places on the worker. */
  placed?: { step: StepState, tasks: number }
  hold?: SlotHold
  /** Number of further tasks that the worker may be given. */
  openings: number
  private forecast: Release[] | undefined

  /** @param starts - number of further starts that the worker may be ordered now; gangs don't count on it, since their tasks start together */
  constructor (readonly worker: WorkerState, public starts = Infinity) {
    this.free = freeCapacity(worker)
    this.openings = MAX_TASKS_PER_WORKER - worker.tasks.size
  }

  /**
   * @param now - monotonic ms of the round
   * @returns the expected releases of the worker's runs, the earliest first
   */
  releases (now: number): Release[] {
    this.forecast ??= forecastReleases(this.worker, now)
    return this.forecast
  }
}

/** Free capacity of the workers of one service, reduced by the placements of one round of planning. */
export class CapacitySnapshot {
  slots: Slot[]
  private readonly slotsById: Map<string, Slot>
  /** Maximum over the workers of each free resource, possibly outdated: during a round the true values only decrease. */
  private maxFree: Size
  private checks = 0
  /** Whether less than half of the processor capacity was in use at the start of the round. */
  readonly isMostlyFree: boolean

  /**
   * @param workers - workers on which tasks may be placed
   * @param startsOf - returns the number of further starts that a worker may be ordered now
   */
  constructor (workers: WorkerState[], startsOf?: (worker: WorkerState) => number) {
    this.slots = workers.map(worker => new Slot(worker, startsOf?.(worker)))
    this.slotsById = new Map(this.slots.map(slot => [slot.worker.report.id, slot]))
    this.maxFree = this.computeMaxFree()
    const sum = (valueOf: (worker: WorkerState) => number): number => workers.reduce((total, worker) => total + valueOf(worker), 0)
    this.isMostlyFree = sum(({ used }) => used.cpu) < MOSTLY_FREE_RATIO * sum(({ report }) => report.capacity.cpu)
  }

  /** @returns the slots of those of the workers on which tasks may be placed */
  slotsOf (ids: Iterable<string>): Slot[] {
    return [...ids].flatMap(id => this.slotsById.get(id) ?? [])
  }

  /** Excludes a worker from the rest of the round. */
  remove (id: string): void {
    if (this.slotsById.delete(id)) this.slots = this.slots.filter(slot => slot.worker.report.id !== id)
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
 * @param start - `now`: monotonic ms of the start; `priority`: priority of the step's route. Without it, all that is held for others counts as used.
 * @returns number of further tasks of the step that may be placed on the worker
 */
export function taskCapacity (slot: Slot, step: StepState, start?: { now: number, priority: number }): number {
  const { free, hold } = slot
  if (hold === undefined || hold.owner === step || (start !== undefined && mayUseHeldCapacity(hold, step, start))) return limitPerWorker(countFitting(free, step.definition), slot, step)
  const { blocked } = hold
  return limitPerWorker(countFitting({ cpu: free.cpu - blocked.cpu, memory: free.memory - blocked.memory, accelerators: free.accelerators - blocked.accelerators }, step.definition), slot, step)
}

/**
 * @param step - a step with waiting tasks
 * @param now - monotonic ms
 * @returns whether the step has waited so long while most of the capacity was free that it may use what is held for gangs
 */
export function isHeldUp ({ waitingSince }: StepState, now: number): boolean {
  return waitingSince !== undefined && now - waitingSince >= MAX_HELD_UP_MS
}

function mayUseHeldCapacity (hold: SlotHold, step: StepState, { now, priority }: { now: number, priority: number }): boolean {
  const { definition } = step
  return priority < hold.priority || isHeldUp(step, now) || (!definition.lasting && now + definition.estimate <= hold.startAt)
}

/** @returns the number of tasks that fit on a worker, limited by the number of all tasks and of the step's tasks that may run there */
export function limitPerWorker (fittingSize: number, slot: Slot, step: StepState): number {
  const { perWorker } = step.definition
  const fitting = Math.max(0, Math.min(fittingSize, slot.openings))
  if (perWorker === undefined || fitting === 0) return fitting
  let present = 0
  for (const task of slot.worker.tasks.values()) if (task.step === step) present++
  if (slot.placed?.step === step) present += slot.placed.tasks
  return Math.max(0, Math.min(fitting, perWorker - present))
}

/**
 * @param slot - a worker
 * @param step - a step
 * @returns number of tasks of the step that fit on the worker while nothing else runs there
 */
export function emptyTaskCapacity ({ worker }: Slot, { definition }: StepState): number {
  return Math.min(countFitting(worker.report.capacity, definition), definition.perWorker ?? Infinity, MAX_TASKS_PER_WORKER)
}

/** Reserves the capacity for a number of tasks in a slot; a negative number releases it. */
export function reserveCapacity (slot: Slot, step: Step, tasks = 1): void {
  const size = reservedSize(step)
  slot.free.cpu -= tasks * size.cpu
  slot.free.memory -= tasks * size.memory
  slot.free.accelerators -= tasks * size.accelerators
  slot.openings -= tasks
}
