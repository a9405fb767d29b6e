import { addResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { WorkerDescription } from '../types/decision.js'
import { CapacityIndex } from './CapacityIndex.js'
import type { CapacityVector } from './CapacityIndex.js'
import { WorkerState } from './WorkerState.js'

/** Workers weighed for one placement. */
const MAX_CANDIDATES = 8

/** Makes a slow worker the last choice among those weighed. */
const SLOW_WORKER_COST = 1e6

/** A worker found for some work. */
export interface WorkerChoice {
  worker: WorkerState
  candidates: number
}

/** The books of all workers of one owner, with an index of their free room. */
export class WorkerRegistry {
  /** Slots of the workers that take new work. */
  slots = 0
  /** Slots that are free at workers that take new work. */
  freeSlots = 0
  private readonly states = new Map<string, WorkerState>()
  private readonly byPosition: Array<WorkerState | undefined> = []
  private readonly freeIndex = new CapacityIndex()
  /** What workers hold when empty; positions are those of `index`. */
  private readonly totalIndex = new CapacityIndex()
  private readonly countedSlots = new Map<WorkerState, { slots: number, free: number }>()
  private readonly longFraction: number

  /** @param options - `longPart`: part of a worker's slots that long work may use */
  constructor (options: { longFraction: number }) {
    this.longFraction = options.longFraction
  }

  /** @returns number of workers known, those leaving included */
  get size (): number {
    return this.states.size
  }

  /** @returns all books */
  all (): Iterable<WorkerState> {
    return this.states.values()
  }

  /**
   * @param id - a worker
   * @returns its book, if there is one
   */
  get (id: string): WorkerState | undefined {
    return this.states.get(id)
  }

  /**
   * Adds a worker, or takes back one that was removed with work still in use.
   *
   * @param description - the worker
   * @param now - ms
   * @param unknown - room counted as used until it is known
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
   * Counts work as in use.
   *
   * @param workerState - where
   * @param resources - how much
   * @param counts - connections and slots of long work
   */
  addUsage (workerState: WorkerState, resources: Resources, counts: { permits: number, long: number }): void {
    workerState.used = addResources(workerState.used, resources)
    workerState.permits += counts.permits
    workerState.longSlots += counts.long
    this.refresh(workerState)
  }

  /**
   * Counts work as ended.
   *
   * @param workerState - where
   * @param resources - how much
   * @param counts - connections and slots of long work
   */
  removeUsage (workerState: WorkerState, resources: Resources, counts: { permits: number, long: number }): void {
    workerState.used = subtractResources(workerState.used, resources)
    workerState.permits -= counts.permits
    workerState.longSlots -= counts.long
    if (workerState.idle) workerState.used = { ...NO_RESOURCES }
    this.refresh(workerState)
  }

  /** @param workerState - a book whose fields were changed */
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
   * Finds a worker with room: of the first few that fit, the one that is left with the least,
   * slow ones last.
   *
   * @param resources - what is needed
   * @param options - `avoid`: workers not to use; `long`: slots that count as long work; `accept`: a further condition
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
   * @param resources - what is needed
   * @param avoid - workers not to use
   * @returns whether some worker could hold it when empty
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
