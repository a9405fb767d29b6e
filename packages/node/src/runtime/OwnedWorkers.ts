import { workerResource, workersOwnedBy } from '@rattanstep/core'
import type { Incarnation, Instance } from '@rattanstep/core'
import { WorkerOwnership } from '@rattanstep/jobs'
import type { Ownership } from '@rattanstep/ownership'
import type { Fleet } from './Fleet.js'

/** Options of `OwnedWorkers`. */
export interface OwnedWorkersOptions {
  self: Incarnation
  ownership: Ownership
  fleet: Fleet
}

/** Workers that this node owns, derived from the assignment and the platform's instance list. */
export class OwnedWorkers extends WorkerOwnership {
  private workers = new Map<string, Instance>()
  private readonly gainedListeners: Array<(worker: Instance) => void> = []
  private readonly lostListeners: Array<(worker: string) => void> = []

  /** @param options - source of the assignment and of the instance list */
  constructor (private readonly options: OwnedWorkersOptions) {
    super()
  }

  override owns (worker: string): boolean {
    return this.options.ownership.canAdmit(workerResource(worker))
  }

  override ownedWorkers (): Instance[] {
    return [...this.workers.values()]
  }

  override cellWorkers (): Instance[] {
    return this.options.fleet.workers()
  }

  override isGone (worker: string): boolean {
    const { fleet, ownership } = this.options
    if (fleet.all() === null || ownership.assignment.version === 0) return false
    return fleet.find(worker) === undefined && ownership.ownerOf(workerResource(worker)) === null
  }

  override onGained (callback: (worker: Instance) => void): void {
    this.gainedListeners.push(callback)
  }

  override onLost (callback: (worker: string) => void): void {
    this.lostListeners.push(callback)
  }

  /** Recomputes the owned workers and notifies listeners of each worker gained or lost. */
  update (): void {
    const { ownership, self } = this.options
    const previous = this.workers
    const current = new Map<string, Instance>()
    for (const id of workersOwnedBy(ownership.assignment, self)) {
      const instance = this.options.fleet.find(id) ?? previous.get(id)
      if (instance !== undefined) current.set(id, instance)
    }
    this.workers = current
    for (const id of previous.keys()) if (!current.has(id)) this.lostListeners.forEach(callback => { callback(id) })
    for (const [id, instance] of current) if (!previous.has(id)) this.gainedListeners.forEach(callback => { callback(instance) })
  }
}
