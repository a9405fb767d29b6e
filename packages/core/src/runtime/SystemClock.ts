import { Clock } from './Clock.js'
import type { Timer } from './Clock.js'

/** The clock of the machine. */
export class SystemClock extends Clock {
  override now (): number {
    return performance.now()
  }

  override wall (): number {
    return Date.now()
  }

  override schedule (delay: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delay)
    return { cancel: () => { clearTimeout(handle) } }
  }

  override scheduleImmediate (callback: () => void): void {
    setImmediate(callback)
  }
}
