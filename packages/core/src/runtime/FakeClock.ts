import { Clock } from './Clock.js'
import type { Timer } from './Clock.js'

interface ScheduledCallback {
  /** Monotonic time in ms at which it runs. */
  at: number
  order: number
  callback: () => void
}

/** Number of real event loop turns after each callback, in which promises can settle. */
const SETTLE_TURNS = 3

/** A clock for tests whose time advances only on request. Callbacks run in order of their time, then of scheduling. */
export class FakeClock extends Clock {
  private time: number
  private order = 0
  private readonly scheduled: ScheduledCallback[] = []
  private readonly epoch: number

  /**
   * @param options - `start`: initial monotonic time in ms (default 0); `epoch`: wall-clock time in ms since 1970 at monotonic
   * time 0
   */
  constructor (options: { start?: number, epoch?: number } = {}) {
    super()
    this.time = options.start ?? 0
    this.epoch = options.epoch ?? 1_800_000_000_000
  }

  override now (): number {
    return this.time
  }

  override wall (): number {
    return this.epoch + this.time
  }

  override schedule (delay: number, callback: () => void): Timer {
    const entry: ScheduledCallback = { at: this.time + Math.max(0, delay), order: this.order++, callback }
    this.insert(entry)
    return { cancel: () => { this.remove(entry) } }
  }

  override scheduleImmediate (callback: () => void): void {
    setImmediate(callback)
  }

  /**
   * Advances the time and runs the callbacks that are due, without waiting for promises.
   *
   * @param duration - time to advance by in ms
   */
  tick (duration: number): void {
    const end = this.time + duration
    for (let entry = this.takeDue(end); entry !== undefined; entry = this.takeDue(end)) {
      this.time = entry.at
      entry.callback()
    }
    this.time = end
  }

  /**
   * Advances the time, runs the callbacks that are due, and lets promises settle after each callback.
   *
   * @param duration - time to advance by in ms
   */
  async advance (duration: number): Promise<void> {
    const end = this.time + duration
    await settle()
    for (let entry = this.takeDue(end); entry !== undefined; entry = this.takeDue(end)) {
      this.time = entry.at
      entry.callback()
      await settle()
    }
    this.time = end
    await settle()
  }

  private takeDue (end: number): ScheduledCallback | undefined {
    const first = this.scheduled[0]
    if (first === undefined || first.at > end) return undefined
    return this.scheduled.shift()
  }

  private insert (entry: ScheduledCallback): void {
    let low = 0
    let high = this.scheduled.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.scheduled[middle]!.at <= entry.at) low = middle + 1
      else high = middle
    }
    this.scheduled.splice(low, 0, entry)
  }

  private remove (entry: ScheduledCallback): void {
    const index = this.scheduled.indexOf(entry)
    if (index >= 0) this.scheduled.splice(index, 1)
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) {
    await new Promise<void>(resolve => { setImmediate(resolve) })
  }
}
