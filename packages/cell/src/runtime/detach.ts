import type { Log } from '@rattanstep/telemetry'
import { logFault } from './logFault.js'

/**
 * Lets an operation continue in the background, and logs an error that it throws.
 *
 * @param work - promise of the operation
 * @param log - receives the error
 * @param step - name of the operation in the log
 */
export function detach (work: Promise<unknown>, log: Log, step: string): void {
  work.catch((error: unknown) => { logFault(log, step, error) })
}
