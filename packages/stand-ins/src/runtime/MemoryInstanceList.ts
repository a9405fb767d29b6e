import { InstanceList, Ok } from '@rattanstep/core'
import type { Clock, Instance, Result, TableError } from '@rattanstep/core'
import type { Faults } from '../types/faults.js'
import { FaultInjector } from './FaultInjector.js'

/** A list of instances kept in memory, whose readers see each change late. */
export class MemoryInstanceList extends InstanceList {
  readonly faultInjector: FaultInjector
  /** Milliseconds until a change shows. */
  lag: number
  private readonly clock: Clock
  private readonly visible = new Map<string, Instance>()
  private readonly current = new Map<string, Instance>()

  /**
   * @param options - `clock`: measures delays; `lag`: ms until a change shows (default 0);
   * `faults`: faults from the start
   */
  constructor (options: { clock: Clock, lag?: number, faults?: Partial<Faults> }) {
    super()
    this.clock = options.clock
    this.lag = options.lag ?? 0
    this.faultInjector = new FaultInjector(options)
  }

  /** Faults in force; may be changed at any time. */
  get faults (): Faults {
    return this.faultInjector.faults
  }

  override async list (): Promise<Result<Instance[], TableError>> {
    return await this.faultInjector.read(() => Ok([...this.visible.values()].map(instance => structuredClone(instance))))
  }

  /** @param instance - an instance that joins or changes */
  add (instance: Instance): void {
    const copy = structuredClone(instance)
    this.current.set(copy.id, copy)
    this.applyAfterLag(() => { this.visible.set(copy.id, copy) })
  }

  /**
   * Marks an instance as leaving.
   *
   * @param id - the instance
   * @returns whether it is known
   */
  leave (id: string): boolean {
    const instance = this.current.get(id)
    if (instance === undefined) return false
    this.add({ ...instance, state: 'leaving' })
    return true
  }

  /**
   * Takes an instance off the list.
   *
   * @param id - the instance
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
