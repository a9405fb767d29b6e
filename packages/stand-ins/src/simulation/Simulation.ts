/** Number of microtask turns after each event, so that chains of promises settle. */
const MICROTASK_TURNS = 24

interface ScheduledEvent {
  at: number
  order: number
  callback: () => void
}

/** An event loop in simulated time. Promises settle between events. */
export class Simulation {
  /** Simulated time in ms. */
  time = 0
  /** Number of events that have run. */
  eventCount = 0
  private scheduledCount = 0
  private readonly heap: ScheduledEvent[] = []

  /**
   * Schedules an event; events of the same time run in the order in which they were scheduled.
   *
   * @param delay - ms from now
   * @param callback - called when the event is due
   */
  schedule (delay: number, callback: () => void): void {
    this.push({ at: this.time + Math.max(0, delay), order: this.scheduledCount++, callback })
  }

  /**
   * Runs the events that are due within a duration.
   *
   * @param duration - ms of simulated time
   * @param onSettled - called after each event, once its promises have settled
   */
  async run (duration: number, onSettled: () => void = () => {}): Promise<void> {
    const end = this.time + duration
    await settlePromises()
    for (let first = this.heap[0]; first !== undefined && first.at <= end; first = this.heap[0]) {
      this.pop()
      this.time = first.at
      this.eventCount++
      first.callback()
      await settlePromises()
      onSettled()
    }
    this.time = end
  }

  private push (event: ScheduledEvent): void {
    const { heap } = this
    let index = heap.length
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(event, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = event
  }

  private pop (): void {
    const { heap } = this
    const last = heap.pop()!
    if (heap.length === 0) return
    let index = 0
    for (;;) {
      let child = index * 2 + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++
      if (!isBefore(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}

async function settlePromises (): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn++) await undefined
}
