import { Err } from '@rattanstep/core'
import type { Clock, Result, TableError } from '@rattanstep/core'
import { noFaults } from '../types/faults.js'
import type { Faults } from '../types/faults.js'

/** Wraps the calls of a stand-in and injects the active faults. */
export class FaultInjector {
  readonly faults: Faults
  private readonly clock: Clock
  private writesSoFar = 0

  /**
   * @param options - `clock`: clock for injected delays; `faults`: initial faults
   */
  constructor (options: { clock: Clock, faults?: Partial<Faults> }) {
    this.clock = options.clock
    this.faults = { ...noFaults(), ...options.faults }
  }

  /** Number of writes attempted so far, including those that failed. */
  get writeCount (): number {
    return this.writesSoFar
  }

  /**
   * Reads, unless a fault prevents it.
   *
   * @param action - function that reads the state
   * @returns the result of the action, or the injected fault
   */
  async read<T> (action: () => Result<T, TableError>): Promise<Result<T, TableError>> {
    if (this.faults.slow > 0) await this.clock.sleep(this.faults.slow)
    if (this.faults.down) return unavailable()
    return action()
  }

  /**
   * Writes under the active faults, or under those that `forWrite` returns for this write.
   *
   * @param action - function that changes the state
   * @returns the result of the action, or the injected fault; after `unknown` the write may still take effect
   */
  async write<T> (action: () => Result<T, TableError>): Promise<Result<T, TableError>> {
    const writeFaults = this.faults.forWrite(this.writesSoFar++)
    const activeFaults = writeFaults === null ? this.faults : { ...noFaults(), ...writeFaults }
    if (activeFaults.slow > 0) await this.clock.sleep(activeFaults.slow)
    if (activeFaults.down) return unavailable()
    if (activeFaults.lateWrites > 0) {
      this.clock.schedule(activeFaults.lateWrites, () => { action() })
      return unknownOutcome()
    }
    const result = action()
    return activeFaults.loseAnswers ? unknownOutcome() : result
  }
}

function unavailable<T> (): Result<T, TableError> {
  return Err({ fault: 'unavailable', message: 'the stand-in is set to be down' })
}

function unknownOutcome<T> (): Result<T, TableError> {
  return Err({ fault: 'unknown', message: 'the stand-in is set to lose answers' })
}
