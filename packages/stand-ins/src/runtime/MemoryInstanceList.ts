import { InstanceList, Ok } from '@rattanstep/core'
import type { Clock, Instance, Result, TableError } from '@rattanstep/core'
import type { Faults } from '../types/faults.js'
import { FaultInjector } from './FaultInjector.js'

/** An instance list in memory, with fault injection. Readers see each change after a configurable lag. */
export class MemoryInstanceList extends InstanceList {
  readonly faultInjector: FaultInjector
  /** Milliseconds until readers see a change. */
  lag: number
  private readonly clock: Clock
  private readonly visible = new Map<string, Instance>()
  private readonly current = new Map<string, Instance>()

  /**
   * @param options - `clock`: clock for delays; `lag`: ms until readers see a change (default 0);
   * `faults`: initial faults
   */
  constructor (options: { clock: Clock, lag?: number, faults?: Partial<Faults> }) {
    super()
    this.clock = options.clock
    this.lag = options.lag ?? 0
    this.faultInjector = new FaultInjector(options)
  }

  /** Active faults, which may be changed at any time. */
  get faults (): Faults {
    return this.faultInjector.faults
  }

  override async list (): Promise<Result<Instance[], TableError>> {
    return await this.faultInjector.read(() => Ok([...this.visible.values()].map(instance => structuredClone(instance))))
  }

  /**
   * Adds or replaces an instance.
   *
   * @param instance - the instance; it is copied
   */
  add (instance: Instance): void {
    const copy = structuredClone(instance)
    this.current.set(copy.id, copy)
    this.applyAfterLag(() => { this.visible.set(copy.id, copy) })
  }

  /**
   * Marks an instance as leaving.
   *
   * @param id - identifier of the instance
   * @returns whether the list holds the instance
   */
  leave (id: string): boolean {
    const instance = this.current.get(id)
    if (instance === undefined) return false
    this.add({ ...instance, state: 'leaving' })
    return true
  }

  /**
   * Removes an instance from the list.
   *
   * @param id - identifier of the instance
   */
  remove (id: string): void {
    this.current.delete(id)
    this.applyAfterLag(() => { this.visible.delete(id) })
  }

  private applyAfterLag (change: () => void): void {
    if (this.lag === 0) change()
    else this.clock.schedule(this.lag, change)
  }
}
