import { addResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { WorkerDescription } from '../types/decision.js'
import { CapacityIndex } from './CapacityIndex.js'
import type { CapacityVector } from './CapacityIndex.js'
import { WorkerState } from './WorkerState.js'

/** Maximum number of workers compared for one placement. */
const MAX_CANDIDATES = 8

/** Added to the cost of a slow worker, so that it is used only when no other compared worker fits. */
const SLOW_WORKER_COST = 1e6

/** The worker chosen for some work. */
export interface WorkerChoice {
  worker: WorkerState
  /** Number of workers that were compared. */
  candidates: number
}

/** States of all workers of one owner, with an index of their free capacity. */
export class WorkerRegistry {
  /** Total slots of the workers that take new work. */
  slots = 0
  /** Free slots of the workers that take new work. */
  freeSlots = 0
  private readonly states = new Map<string, WorkerState>()
  private readonly byPosition: Array<WorkerState | undefined> = []
  private readonly freeIndex = new CapacityIndex()
  /** Total capacity of workers; positions are those of `freeIndex`. */
  private readonly totalIndex = new CapacityIndex()
  /** What each worker contributes to `slots` and `freeSlots`. */
  private readonly countedSlots = new Map<WorkerState, { slots: number, free: number }>()
  private readonly longFraction: number

  /** @param options - `longFraction`: fraction of a worker's slots that long work may use */
  constructor (options: { longFraction: number }) {
    this.longFraction = options.longFraction
  }

  /** @returns number of known workers, including those that are leaving */
  get size (): number {
    return this.states.size
  }

  /** @returns states of all workers */
  all (): Iterable<WorkerState> {
    return this.states.values()
  }

  /**
   * @param id - identifier of a worker
   * @returns its state, if it is known
   */
  get (id: string): WorkerState | undefined {
    return this.states.get(id)
  }

  /**
   * Adds a worker, or restores one that was removed while work was still using it.
   *
   * @param description - the worker
   * @param now - monotonic time in ms
   * @param unknown - resources counted as used until the owner knows what runs on the worker
   */
  add (description: WorkerDescription, now: number, unknown: Resources): void {
    const known = this.states.get(description.id)
    if (known !== undefined) {
      known.description = description
      known.removed = false
      known.draining = false
      known.unknown = { ...unknown }
      known.addedAt = now
      this.refresh(known)
      return
    }
    this.totalIndex.add()
    const workerState = new WorkerState({ description, position: this.freeIndex.add(), unknown: { ...unknown }, now })
    this.states.set(description.id, workerState)
    this.byPosition[workerState.position] = workerState
    this.refresh(workerState)
  }

  /**
   * Adds the usage of work that starts.
   *
   * @param workerState - the worker
   * @param resources - what the work uses
   * @param counts - number of permits, and of slots that count as long work
   */
  addUsage (workerState: WorkerState, resources: Resources, counts: { permits: number, long: number }): void {
    workerState.used = addResources(workerState.used, resources)
    workerState.permits += counts.permits
    workerState.longSlots += counts.long
    this.refresh(workerState)
  }

  /**
   * Removes the usage of work that has ended.
   *
   * @param workerState - the worker
   * @param resources - what the work used
   * @param counts - number of permits, and of slots that counted as long work
   */
  removeUsage (workerState: WorkerState, resources: Resources, counts: { permits: number, long: number }): void {
    workerState.used = subtractResources(workerState.used, resources)
    workerState.permits -= counts.permits
    workerState.longSlots -= counts.long
    if (workerState.idle) workerState.used = { ...NO_RESOURCES }
    this.refresh(workerState)
  }

  /** @param workerState - a worker whose fields were changed and whose index entries are to be updated */
  refresh (workerState: WorkerState): void {
    this.subtractCounted(workerState)
    if (workerState.removed && workerState.idle) {
      this.states.delete(workerState.description.id)
      this.byPosition[workerState.position] = undefined
      this.freeIndex.remove(workerState.position)
      this.totalIndex.remove(workerState.position)
      return
    }
    if (workerState.removed || workerState.draining) this.totalIndex.block(workerState.position)
    else this.totalIndex.set(workerState.position, totalCapacityVector(workerState))
    if (!workerState.usable) {
      this.freeIndex.block(workerState.position)
      return
    }
    const capacityVector = workerState.capacityVector(this.maxLongSlots(workerState))
    this.freeIndex.set(workerState.position, capacityVector)
    const count = { slots: workerState.description.resources.slots, free: Math.max(0, capacityVector[0]) }
    this.countedSlots.set(workerState, count)
    this.slots += count.slots
    this.freeSlots += count.free
  }

  /**
   * Finds a worker with free capacity: of the first few that fit, short work goes to the fullest and long work to the one
   * with the least long work. Slow workers are used last.
   *
   * @param resources - resources that the work needs
   * @param options - `avoid`: workers not to use; `long`: number of slots that count as long work; `accept`: a further condition
   * @returns the worker, or `null` when none fits now
   */
  find (resources: Resources, options: { avoid: string[], long: number, accept?: (worker: WorkerState) => boolean }): WorkerChoice | null {
    const { slots, cores, memory, accelerators } = resources
    const accept = (position: number): boolean => {
      const workerState = this.byPosition[position]!
      return !options.avoid.includes(workerState.description.id) && options.accept?.(workerState) !== false
    }
    const long = options.long > 0 ? options.long : -Infinity
    const found = this.freeIndex.find([slots, cores, memory, accelerators, 1, long], MAX_CANDIDATES, accept)
    if (found.length === 0) return null
    const workerStates = found.map(position => this.byPosition[position]!)
    const cost = options.long > 0 ? longCost : unusedSlots
    const worker = workerStates.reduce((best, workerState) => cost(workerState) < cost(best) ? workerState : best)
    return { worker, candidates: workerStates.length }
  }

  /**
   * @param resources - resources that the work needs
   * @param avoid - workers not to use
   * @returns whether the work would fit on some worker if that were empty
   */
  couldHold (resources: Resources, avoid: string[]): boolean {
    const { slots, cores, memory, accelerators } = resources
    const accept = (position: number): boolean => !avoid.includes(this.byPosition[position]!.description.id)
    return this.totalIndex.find([slots, cores, memory, accelerators, 1, 0], 1, accept).length > 0
  }

  private maxLongSlots (workerState: WorkerState): number {
    return Math.max(1, Math.floor(workerState.description.resources.slots * this.longFraction))
  }

  private subtractCounted (workerState: WorkerState): void {
    const count = this.countedSlots.get(workerState)
    if (count === undefined) return
    this.countedSlots.delete(workerState)
    this.slots -= count.slots
    this.freeSlots -= count.free
  }
}

function totalCapacityVector (workerState: WorkerState): CapacityVector {
  const { slots, cores, memory, accelerators } = workerState.description.resources
  return [slots, cores, memory, accelerators, workerState.description.connections, 0]
}

function unusedSlots (workerState: WorkerState): number {
  return workerState.description.resources.slots - workerState.used.slots + slowCost(workerState)
}

function longCost (workerState: WorkerState): number {
  return workerState.longSlots + slowCost(workerState)
}

function slowCost (workerState: WorkerState): number {
  return workerState.slow ? SLOW_WORKER_COST : 0
}
