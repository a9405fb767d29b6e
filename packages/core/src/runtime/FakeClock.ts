import { Clock } from './Clock.js'
import type { Timer } from './Clock.js'

interface ScheduledCallback {
  at: number
  order: number
  callback: () => void
}

/** Real turns of the event loop granted after each callback, so that promises settle. */
const SETTLE_TURNS = 3

/** A clock that moves only when told to. Callbacks run in order of time, then of scheduling. */
export class FakeClock extends Clock {
  private time: number
  private order = 0
  private readonly scheduled: ScheduledCallback[] = []
  private readonly epoch: number

  /**
   * @param options - `start`: first monotonic ms (default 0); `epoch`: wall-clock ms at monotonic 0
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
   * Moves time on and runs what is due, without waiting for promises.
   *
   * @param duration - ms to move on by
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
   * Moves time on and lets promises settle after each callback.
   *
   * @param duration - ms to move on by
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
