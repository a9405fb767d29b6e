import { Err } from '@rattanstep/core'
import type { Clock, Result, TableError } from '@rattanstep/core'
import { noFaults } from '../types/faults.js'
import type { Faults } from '../types/faults.js'

/** Lets calls of a stand-in through as its faults allow. */
export class FaultGate {
  readonly faults: Faults
  private readonly clock: Clock
  private writes = 0

  /**
   * @param options - `clock`: measures delays; `faults`: faults from the start
   */
  constructor (options: { clock: Clock, faults?: Partial<Faults> }) {
    this.clock = options.clock
    this.faults = { ...noFaults(), ...options.faults }
  }

  /** Number of writes asked for so far. */
  get writeCount (): number {
    return this.writes
  }

  /**
   * @param action - reads the state
   * @returns what the action gives, or the fault
   */
  async read<T> (action: () => Result<T, TableError>): Promise<Result<T, TableError>> {
    if (this.faults.slow > 0) await this.clock.sleep(this.faults.slow)
    if (this.faults.down) return unavailable()
    return action()
  }

  /**
   * @param action - changes the state
   * @returns what the action gives, or the fault
   */
  async write<T> (action: () => Result<T, TableError>): Promise<Result<T, TableError>> {
    const single = this.faults.at(this.writes++)
    const faults = single === null ? this.faults : { ...noFaults(), ...single }
    if (faults.slow > 0) await this.clock.sleep(faults.slow)
    if (faults.down) return unavailable()
    if (faults.lateWrites > 0) {
      this.clock.schedule(faults.lateWrites, () => { action() })
      return unknown()
    }
    const result = action()
    return faults.loseAnswers ? unknown() : result
  }
}

function unavailable<T> (): Result<T, TableError> {
  return Err({ fault: 'unavailable', message: 'the stand-in is set to be down' })
}

function unknown<T> (): Result<T, TableError> {
  return Err({ fault: 'unknown', message: 'the stand-in is set to lose answers' })
}
