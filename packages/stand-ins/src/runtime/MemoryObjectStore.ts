import { ObjectStore, Ok } from '@rattanstep/core'
import type { Clock, Result, TableError } from '@rattanstep/core'
import type { Faults } from '../types/faults.js'
import { FaultInjector } from './FaultInjector.js'

/** An object store in memory, with fault injection. */
export class MemoryObjectStore extends ObjectStore {
  readonly faultInjector: FaultInjector
  private readonly objects = new Map<string, Uint8Array>()

  /**
   * @param options - `clock`: clock for injected delays; `faults`: initial faults
   */
  constructor (options: { clock: Clock, faults?: Partial<Faults> }) {
    super()
    this.faultInjector = new FaultInjector(options)
  }

  /** Active faults, which may be changed at any time. */
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
