/**
 * Time as the code sees it. Waits and leases use the monotonic time only.
 */

/** A scheduled callback. */
export interface Timer {
  cancel: () => void
}

/** Source of time and of scheduled callbacks. */
export abstract class Clock {
  /** @returns monotonic time in ms */
  abstract now (): number

  /** @returns wall-clock time in ms since 1970 */
  abstract wall (): number

  /**
   * Runs a callback once.
   *
   * @param delay - ms from now
   * @param callback - what to run
   * @returns a handle that cancels the callback
   */
  abstract schedule (delay: number, callback: () => void): Timer

  /**
   * Runs a callback again and again, the first time after one period.
   *
   * @param period - ms between runs
   * @param callback - what to run
   * @returns a handle that ends the repetition
   */
  repeat (period: number, callback: () => void): Timer {
    let timer: Timer
    let cancelled = false
    const run = (): void => {
      if (cancelled) return
      timer = this.schedule(period, run)
      callback()
    }
    timer = this.schedule(period, run)
    return {
      cancel: () => {
        cancelled = true
        timer.cancel()
      }
    }
  }

  /**
   * Runs a callback once the current turn of the loop has ended.
   *
   * @param callback - what to run
   */
  scheduleImmediate (callback: () => void): void {
    this.schedule(0, callback)
  }

  /**
   * Waits.
   *
   * @param delay - ms from now
   * @returns a promise that resolves after the delay
   */
  async sleep (delay: number): Promise<void> {
    await new Promise<void>(resolve => { this.schedule(delay, resolve) })
  }
}
