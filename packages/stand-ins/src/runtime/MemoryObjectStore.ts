import { ObjectStore, Ok } from '@rattanstep/core'
import type { Clock, Result, TableError } from '@rattanstep/core'
import type { Faults } from '../types/faults.js'
import { FaultGate } from './FaultGate.js'

/** An object store kept in memory. */
export class MemoryObjectStore extends ObjectStore {
  readonly gate: FaultGate
  private readonly objects = new Map<string, Uint8Array>()

  /**
   * @param options - `clock`: measures delays; `faults`: faults from the start
   */
  constructor (options: { clock: Clock, faults?: Partial<Faults> }) {
    super()
    this.gate = new FaultGate(options)
  }

  /** Faults in force; may be changed at any time. */
  get faults (): Faults {
    return this.gate.faults
  }

  override async get (name: string): Promise<Result<Uint8Array | null, TableError>> {
    return await this.gate.read(() => Ok(this.objects.get(name)?.slice() ?? null))
  }

  override async put (name: string, bytes: Uint8Array): Promise<Result<void, TableError>> {
    const copy = bytes.slice()
    return await this.gate.write(() => {
      this.objects.set(name, copy)
      return Ok(undefined)
    })
  }
}
