import type { Counter, Metrics } from '@rattanstep/telemetry'

/** Counts the characters that a process sends and receives, by kind of message or call, as the metric `NAME_chars_total`. */
export class TrafficMeter {
  private readonly counters = { sent: new Map<string, Counter>(), received: new Map<string, Counter>() }

  /** @param options - `name`: prefix of the metric */
  constructor (private readonly options: { metrics: Metrics, name: string }) {}

  /** Counts a message of a kind; `length` in characters, most of which are one byte. */
  record (direction: 'sent' | 'received', kind: string, length: number): void {
    const counters = this.counters[direction]
    let counter = counters.get(kind)
    if (counter === undefined) counters.set(kind, counter = this.options.metrics.counter(`${this.options.name}_chars`, { direction, kind }))
    counter.add(length)
  }
}
