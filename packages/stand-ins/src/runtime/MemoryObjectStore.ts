import { ObjectStore, Ok } from '@rattanstep/core'
import type { Clock, Result, TableError } from '@rattanstep/core'
import type { Faults } from '../types/faults.js'
import { FaultInjector } from './FaultInjector.js'

/** An object store kept in memory. */
export class MemoryObjectStore extends ObjectStore {
  readonly faultInjector: FaultInjector
  private readonly objects = new Map<string, Uint8Array>()

  /**
   * @param options - `clock`: measures delays; `faults`: faults from the start
   */
  constructor (options: { clock: Clock, faults?: Partial<Faults> }) {
    super()
    this.faultInjector = new FaultInjector(options)
  }

  /** Faults in force; may be changed at any time. */
  get faults (): Faults {
    return this.faultInjector.faults
  }

  override async get (name: string): Promise<Result<Uint8Array | null, TableError>> {
    return await this.faultInjector.read(() => Ok(this.objects.get(name)?.slice() ?? null))
  }

  override async put (name: string, bytes: Uint8Array): Promise<Result<void, TableError>> {
    const copy = bytes.slice()
    return await this.faultInjector.write(() => {
      this.objects.set(name, copy)
      return Ok(undefined)
    })
  }
}
