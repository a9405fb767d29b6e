import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'

/**
 * Lets work go on in the background; what it throws becomes a log line.
 *
 * @param work - what goes on
 * @param log - for faults
 * @param step - names the work in the log
 */
export function detach (work: Promise<unknown>, log: Log, step: string): void {
  work.catch((error: unknown) => { log.write(CELL_EVENTS.fault, { step, error: error instanceof Error ? error.stack : String(error) }) })
}
