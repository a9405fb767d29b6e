import { addResources, fitsResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { ClassRegistry } from './ClassRegistry.js'
import { PermitRegistry } from './PermitRegistry.js'
import type { PermitEntry } from './PermitRegistry.js'
import type { WorkerState } from './WorkerState.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** Capacity reserved on a worker for a task. */
export interface Hold {
  id: string
  worker: string
  class: string
  team: string
  resources: Resources
  long: boolean
  /** Monotonic time in ms at which the hold started. */
  heldAt: number
}

/** Records permits and holds, and keeps the usage of workers and classes consistent with them. */
export class Ledger {
  readonly permits = new PermitRegistry()
  private readonly holds = new Map<string, Hold>()
  private readonly workers: WorkerRegistry
  private readonly classes: ClassRegistry

  /** @param options - `workers` and `classes`: registries whose usage is updated */
  constructor (options: { workers: WorkerRegistry, classes: ClassRegistry }) {
    this.workers = options.workers
    this.classes = options.classes
  }

  /** @param entry - a permit that is granted or adopted; ignored when its worker is not known */
  addPermit (entry: PermitEntry): void {
    const worker = this.workers.get(entry.worker)
    if (worker === undefined) return
    this.permits.add(entry)
    this.classes.addUsage(entry)
    this.workers.addUsage(worker, entry.resources, { permits: 1, long: longSlots(entry) })
  }

  /** @param entry - a permit whose work has ended */
  removePermit (entry: PermitEntry): void {
    this.permits.remove(entry)
    this.classes.removeUsage(entry)
    const worker = this.workers.get(entry.worker)
    if (worker === undefined) return
    this.workers.removeUsage(worker, entry.resources, { permits: 1, long: longSlots(entry) })
  }

  /**
   * Counts a permit as long work from now on.
   *
   * @param entry - a permit whose run has exceeded the threshold of long work
   */
  markLong (entry: PermitEntry): void {
    if (entry.long || entry.released) return
    this.classes.removeUsage(entry)
    entry.long = true
    this.classes.addUsage(entry)
    const worker = this.workers.get(entry.worker)
    if (worker === undefined) return
    worker.longSlots += entry.resources.slots
    this.workers.refresh(worker)
  }

  /**
   * @param id - identifier of a hold
   * @returns the hold, if it is in use
   */
  getHold (id: string): Hold | undefined {
    return this.holds.get(id)
  }

  /**
   * Counts capacity as held.
   *
   * @param worker - state of the worker
   * @param hold - the hold
   */
  addHold (worker: WorkerState, hold: Hold): void {
    this.holds.set(hold.id, hold)
    worker.holds++
    worker.held = addResources(worker.held, hold.resources)
    this.classes.addUsage(hold)
    this.workers.addUsage(worker, hold.resources, { permits: 0, long: longSlots(hold) })
  }

  /**
   * Releases a hold.
   *
   * @param id - identifier of the hold
   * @param now - monotonic time in ms
   * @returns the released hold, if it was in use
   */
  releaseHold (id: string, now: number): Hold | undefined {
    const hold = this.holds.get(id)
    if (hold === undefined) return undefined
    this.holds.delete(id)
    this.classes.removeUsage(hold)
    const worker = this.workers.get(hold.worker)
    if (worker === undefined) return hold
    worker.holdReleasedAt = now
    worker.holds--
    worker.held = worker.holds === 0 ? { ...NO_RESOURCES } : subtractResources(worker.held, hold.resources)
    this.workers.removeUsage(worker, hold.resources, { permits: 0, long: longSlots(hold) })
    return hold
  }

  /**
   * @param worker - state of a worker
   * @param resources - resources to hold
   * @returns whether the worker takes new work and has these resources free
   */
  fits (worker: WorkerState, resources: Resources): boolean {
    return worker.usable && fitsResources(resources, worker.free())
  }
}

function longSlots (work: { long: boolean, resources: Resources }): number {
  return work.long ? work.resources.slots : 0
}
