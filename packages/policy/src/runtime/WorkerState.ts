import { addResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { WorkerDescription } from '../types/decision.js'
import type { CapacityVector } from './CapacityIndex.js'

/** The book of one worker: what it holds and what of it is in use. */
export class WorkerState {
  description: WorkerDescription
  /** Position in the index of free room. */
  readonly position: number
  /** Used by permits and holds. */
  used: Resources = { ...NO_RESOURCES }
  /** Room that may be in use by work that this owner does not know of. */
  unknown: Resources
  /** Use by tasks above what was held for them. */
  excess: Resources = { ...NO_RESOURCES }
  /** Held for tasks of jobs; part of `used`. */
  held: Resources = { ...NO_RESOURCES }
  /** Number of holds in use. */
  holds = 0
  /** Permits in use; each stands for one connection. */
  permits = 0
  /** Slots in use by long work. */
  longSlots = 0
  /** Since when the room counts, in ms. */
  addedAt: number
  /** When a hold was last released here, in ms. */
  holdReleasedAt = -Infinity
  draining = false
  /** Whether the owner may not fill it just now. */
  closed = false
  removed = false
  quarantined = false
  /** Whether its runs take much longer than those of its peers. */
  slow = false

  /**
   * @param options - `room`: the worker; `position`: its place in the index; `unknown`: room counted as used; `now`: ms
   */
  constructor (options: { description: WorkerDescription, position: number, unknown: Resources, now: number }) {
    this.description = options.description
    this.position = options.position
    this.unknown = options.unknown
    this.addedAt = options.now
  }

  /** @returns whether new work may start here */
  get usable (): boolean {
    return !this.draining && !this.closed && !this.removed && !this.quarantined
  }

  /** @returns whether nothing known is in use */
  get idle (): boolean {
    return this.permits === 0 && this.holds === 0
  }

  /** @returns what is neither used nor unknown; negative where adopted work exceeds the worker */
  free (): Resources {
    const taken = addResources(addResources(this.used, this.unknown), this.excess)
    return subtractResources(this.description.resources, taken)
  }

  /** @returns connections that are not in use */
  freeConnections (): number {
    return this.description.connections - this.permits - this.unknown.slots
  }

  /**
   * @param maxLongSlots - most slots of long work
   * @returns the amounts for the index of free room
   */
  capacityVector (maxLongSlots: number): CapacityVector {
    const free = this.free()
    return [free.slots, free.cores, free.memory, free.accelerators, this.freeConnections(), maxLongSlots - this.longSlots]
  }

  /** @param resources - amount that was unknown until now and is known from here on */
  subtractUnknown (resources: Resources): void {
    this.unknown = clampResources(subtractResources(this.unknown, resources))
  }
}

/**
 * @param resources - an amount, perhaps negative
 * @returns the amount with nothing below zero
 */
export function clampResources (resources: Resources): Resources {
  return {
    slots: Math.max(0, resources.slots),
    cores: Math.max(0, resources.cores),
    memory: Math.max(0, resources.memory),
    accelerators: Math.max(0, resources.accelerators)
  }
}
