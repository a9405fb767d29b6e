import { addResources, fitsResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import { WorkerCapacity } from './WorkerCapacity.js'

interface Entry {
  worker: string
  resources: Resources
}

/** Capacity that only tasks use, without limits for classes or teams. */
export class SimpleWorkerCapacity extends WorkerCapacity {
  private readonly total: (worker: string) => Resources
  private readonly entries = new Map<string, Entry>()

  /** @param options - `total`: all resources of a worker */
  constructor (options: { total: (worker: string) => Resources }) {
    super()
    this.total = options.total
  }

  override tryHold (worker: string, resources: Resources, _workClass: string, _team: string, id: string): boolean {
    if (!fitsResources(resources, this.free(worker))) return false
    this.entries.set(id, { worker, resources })
    return true
  }

  override occupy (worker: string, resources: Resources, _workClass: string, _team: string, id: string): void {
    this.entries.set(id, { worker, resources })
  }

  override tasksCounted (): void {}

  override release (id: string): void {
    this.entries.delete(id)
  }

  override free (worker: string): Resources {
    const used = [...this.entries.values()]
      .filter(entry => entry.worker === worker)
      .reduce((sum, entry) => addResources(sum, entry.resources), NO_RESOURCES)
    return subtractResources(this.total(worker), used)
  }
}
