/** A scheduled callback. */
export interface Timer {
  cancel: () => void
}

/** Source of time and scheduler of callbacks. Waits and leases use monotonic time only. */
export abstract class Clock {
  /** @returns monotonic time in ms */
  abstract now (): number

  /** @returns wall-clock time in ms since 1970 */
  abstract wall (): number

  /**
   * Runs a callback once.
   *
   * @param delay - delay in ms
   * @param callback - callback to run
   * @returns a handle that cancels the callback
   */
  abstract schedule (delay: number, callback: () => void): Timer

  /**
   * Runs a callback periodically, first after one period.
   *
   * @param period - time between runs in ms
   * @param callback - callback to run
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
   * Runs a callback after the current turn of the event loop.
   *
   * @param callback - callback to run
   */
  scheduleImmediate (callback: () => void): void {
    this.schedule(0, callback)
  }

  /**
   * Waits.
   *
   * @param delay - delay in ms
   * @returns a promise that resolves after the delay
   */
  async sleep (delay: number): Promise<void> {
    await new Promise<void>(resolve => { this.schedule(delay, resolve) })
  }
}
