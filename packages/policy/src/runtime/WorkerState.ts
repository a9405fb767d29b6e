import { addResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { WorkerDescription } from '../types/decision.js'
import type { CapacityVector } from './CapacityIndex.js'

/** State of one worker: its resources and their usage. */
export class WorkerState {
  description: WorkerDescription
  /** Position in the index of free capacity. */
  readonly position: number
  /** Resources in use by permits and holds. */
  used: Resources = { ...NO_RESOURCES }
  /** Resources that may be in use by work that this owner does not know of. */
  unknown: Resources
  /** Resources that tasks use beyond what is held for them. */
  excess: Resources = { ...NO_RESOURCES }
  /** Resources held for tasks of jobs; part of `used`. */
  held: Resources = { ...NO_RESOURCES }
  /** Number of holds in use. */
  holds = 0
  /** Number of permits in use; each takes one connection. */
  permits = 0
  /** Slots in use by long work. */
  longSlots = 0
  /** Monotonic time in ms at which this owner added the worker. */
  addedAt: number
  /** Monotonic time in ms at which a hold on the worker was last released. */
  holdReleasedAt = -Infinity
  draining = false
  /** Whether the owner may not admit work to it at present. */
  closed = false
  removed = false
  quarantined = false
  /** Whether its runs take much longer than those of other workers. */
  slow = false

  /**
   * @param options - `description`: the worker; `position`: its position in the index; `unknown`: resources counted as used;
   * `now`: monotonic time in ms
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

  /** @returns whether no permit and no hold is in use */
  get idle (): boolean {
    return this.permits === 0 && this.holds === 0
  }

  /** @returns resources that are neither used nor unknown; negative where adopted work exceeds the worker */
  free (): Resources {
    const taken = addResources(addResources(this.used, this.unknown), this.excess)
    return subtractResources(this.description.resources, taken)
  }

  /** @returns number of connections that are not in use */
  freeConnections (): number {
    return this.description.connections - this.permits - this.unknown.slots
  }

  /**
   * @param maxLongSlots - maximum number of slots for long work
   * @returns free amounts for the index of free capacity
   */
  capacityVector (maxLongSlots: number): CapacityVector {
    const free = this.free()
    return [free.slots, free.cores, free.memory, free.accelerators, this.freeConnections(), maxLongSlots - this.longSlots]
  }

  /** @param resources - amount that counted as unknown and is now counted as used */
  subtractUnknown (resources: Resources): void {
    this.unknown = clampResources(subtractResources(this.unknown, resources))
  }
}

/**
 * @param resources - amounts that may be negative
 * @returns the amounts with negative ones replaced by zero
 */
export function clampResources (resources: Resources): Resources {
  return {
    slots: Math.max(0, resources.slots),
    cores: Math.max(0, resources.cores),
    memory: Math.max(0, resources.memory),
    accelerators: Math.max(0, resources.accelerators)
  }
}
