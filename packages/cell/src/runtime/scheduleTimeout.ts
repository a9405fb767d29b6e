import type { Clock, Timer } from '@rattanstep/core'

/**
 * Schedules the end of a wait for a message. Timers run before the messages that arrived while the process was busy or paused are read, so that these are
 * given a turn first.
 *
 * @param clock - the clock
 * @param delay - ms
 * @param callback - called after the delay, unless the timer is cancelled
 */
export function scheduleTimeout (clock: Clock, delay: number, callback: () => void): Timer {
  let isCancelled = false
  const timer = clock.schedule(delay, () => { clock.scheduleImmediate(() => { if (!isCancelled) callback() }) })
  return {
    cancel: () => {
      isCancelled = true
      timer.cancel()
    }
  }
}
