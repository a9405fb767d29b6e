/** Microtask turns granted after each event, so that chains of promises settle. */
const SETTLE_TURNS = 24

interface Entry {
  at: number
  order: number
  callback: () => void
}

/** Runs events in order of time, and promises between them, without real waiting. */
export class Simulation {
  time = 0
  events = 0
  private order = 0
  private readonly heap: Entry[] = []

  /**
   * @param delay - ms from now
   * @param callback - what to run
   */
  schedule (delay: number, callback: () => void): void {
    this.push({ at: this.time + Math.max(0, delay), order: this.order++, callback })
  }

  /**
   * Runs what is due within a duration.
   *
   * @param duration - ms
   * @param after - called when each event has settled
   */
  async run (duration: number, after: () => void = () => {}): Promise<void> {
    const end = this.time + duration
    await settle()
    for (let first = this.heap[0]; first !== undefined && first.at <= end; first = this.heap[0]) {
      this.pop()
      this.time = first.at
      this.events++
      first.callback()
      await settle()
      after()
    }
    this.time = end
  }

  private push (entry: Entry): void {
    const { heap } = this
    let index = heap.length
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = entry
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

function isBefore (a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) await undefined
}
