import { workerResource, workersOwnedBy } from '@rattanstep/core'
import type { Incarnation, Instance } from '@rattanstep/core'
import { WorkerOwnership } from '@rattanstep/jobs'
import type { Ownership } from '@rattanstep/ownership'
import type { Fleet } from './Fleet.js'

/** What the view of the owned workers is made of. */
export interface OwnedWorkersOptions {
  self: Incarnation
  ownership: Ownership
  fleet: Fleet
}

/** Which workers this node owns, followed from the assignment and the platform's list. */
export class OwnedWorkers extends WorkerOwnership {
  private owned = new Map<string, Instance>()
  private readonly gained: Array<(worker: Instance) => void> = []
  private readonly lost: Array<(worker: string) => void> = []

  /** @param options - assignment and list */
  constructor (private readonly options: OwnedWorkersOptions) {
    super()
  }

  override owns (worker: string): boolean {
    return this.options.ownership.canAdmit(workerResource(worker))
  }

  override ownedWorkers (): Instance[] {
    return [...this.owned.values()]
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
    this.gained.push(callback)
  }

  override onLost (callback: (worker: string) => void): void {
    this.lost.push(callback)
  }

  /** Compares with the newest assignment and list, and tells what changed. */
  update (): void {
    const { ownership, self } = this.options
    const before = this.owned
    const now = new Map<string, Instance>()
    for (const id of workersOwnedBy(ownership.assignment, self)) {
      const entry = this.options.fleet.find(id) ?? before.get(id)
      if (entry !== undefined) now.set(id, entry)
    }
    this.owned = now
    for (const id of before.keys()) if (!now.has(id)) this.lost.forEach(callback => { callback(id) })
    for (const [id, entry] of now) if (!before.has(id)) this.gained.forEach(callback => { callback(entry) })
  }
}
