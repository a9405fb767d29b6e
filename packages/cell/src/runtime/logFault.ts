import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'

/**
 * Logs an error of an internal operation.
 *
 * @param log - receives the error
 * @param step - name of the operation in the log
 * @param error - what was thrown
 */
export function logFault (log: Log, step: string, error: unknown): void {
  log.write(CELL_EVENTS.fault, { step, error: error instanceof Error ? error.stack : String(error) })
}
