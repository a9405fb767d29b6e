import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { logFault } from './logFault.js'

/** Delay before an operation that has thrown an error is repeated; limits the log lines and calls of one that fails every time. */
const FAULT_DELAY_MS = 200

/**
 * Repeats an operation. An error that it throws is logged and doesn't end the repetition.
 *
 * @param isNeeded - returns whether to repeat the operation again
 * @param operation - the operation
 * @param options - `step`: name of the operation in the log
 */
export async function repeatWhile (isNeeded: () => boolean, operation: () => Promise<void>, { clock, log, step }: { clock: Clock, log: Log, step: string }): Promise<void> {
  while (isNeeded()) {
    try {
      await operation()
    } catch (error) {
      logFault(log, step, error)
      await clock.sleep(FAULT_DELAY_MS)
    }
  }
}
