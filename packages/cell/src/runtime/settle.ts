import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { logFault } from './logFault.js'
import { scheduleTimeout } from './scheduleTimeout.js'

/** Options of a call that is to have an outcome. */
export interface SettleOptions<Outcome> {
  clock: Clock
  log: Log
  /** Name of the call in the log. */
  step: string
  /** ms after which the call is given up. */
  timeout: number
  /** Returns the outcome of a call that has thrown an error or was given up. */
  outcomeOf: (reason: string) => Outcome
}

/**
 * Waits for the outcome of a call. What waits for a call goes on even if the call throws an error or never ends, which is logged.
 *
 * @param call - the call
 * @returns the outcome; never rejects
 */
export async function settle<Outcome> (call: () => Promise<Outcome>, { clock, log, step, timeout, outcomeOf }: SettleOptions<Outcome>): Promise<Outcome> {
  return await new Promise<Outcome>(resolve => {
    const fail = (error: unknown): void => {
      logFault(log, step, error)
      resolve(outcomeOf(String(error)))
    }
    const timer = scheduleTimeout(clock, timeout, () => { fail(`no outcome within ${timeout} ms`) })
    call().then(resolve, fail).finally(() => { timer.cancel() })
  })
}
