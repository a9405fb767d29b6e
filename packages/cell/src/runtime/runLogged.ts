import type { Log } from '@rattanstep/telemetry'
import { logFault } from './logFault.js'

/**
 * Runs one of several independent actions, and logs an error that it throws, so that the others are run nevertheless.
 *
 * @param action - the action
 * @param log - receives the error
 * @param step - name of the action in the log
 */
export function runLogged (action: () => void, log: Log, step: string): void {
  try {
    action()
  } catch (error) {
    logFault(log, step, error)
  }
}
