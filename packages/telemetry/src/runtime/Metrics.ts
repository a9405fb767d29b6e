// Imported directly: the index of the package also loads its WebAssembly and compression code, which doubles the start-up
// time of a process.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'

const { default: Int32Histogram } = histogramModule

/** Labels that identify a series within a metric. */
export type Labels = Record<string, string>

/** Statistics of one latency histogram. Latencies are in milliseconds. */
export interface LatencySummary {
  count: number
  mean: number
  p50: number
  p90: number
  p99: number
  max: number
}

/** Current value of one series. */
export type Series =
  | { kind: 'counter', name: string, labels: Labels, value: number }
  | { kind: 'gauge', name: string, labels: Labels, value: number }
  | { kind: 'timer', name: string, labels: Labels, value: LatencySummary }

const MICROSECONDS_PER_MS = 1000
const HIGHEST_TRACKABLE_US = 3_600_000_000
const SIGNIFICANT_DIGITS = 2
/** Quantiles of each latency histogram in the Prometheus text format. */
const QUANTILES = [0.5, 0.9, 0.99]

function createHistogram (): InstanceType<typeof Int32Histogram> {
  const histogram = new Int32Histogram(1, HIGHEST_TRACKABLE_US, SIGNIFICANT_DIGITS)
  histogram.autoResize = false
  return histogram
}

/** Latency histogram with a precision of two significant digits. */
export class LatencyHistogram {
  private readonly histogram = createHistogram()

  /**
   * Records a duration. Durations are clamped to between 0 and one hour.
   *
   * @param duration - duration in ms
   */
  record (duration: number): void {
    const value = Math.round(Math.max(0, duration) * MICROSECONDS_PER_MS)
    this.histogram.recordValue(Math.min(value, HIGHEST_TRACKABLE_US))
  }

  /**
   * @param fraction - quantile, from 0 to 1
   * @returns the latency at that quantile in ms
   */
  quantile (fraction: number): number {
    return this.histogram.getValueAtPercentile(fraction * 100) / MICROSECONDS_PER_MS
  }

  /** @returns number of durations recorded so far */
  get count (): number {
    return this.histogram.totalCount
  }

  /** @returns statistics of the durations recorded so far */
  summary (): LatencySummary {
    return {
      count: this.histogram.totalCount,
      mean: this.histogram.totalCount === 0 ? 0 : this.histogram.mean / MICROSECONDS_PER_MS,
      p50: this.quantile(0.5),
      p90: this.quantile(0.9),
      p99: this.quantile(0.99),
      max: this.histogram.totalCount === 0 ? 0 : this.histogram.maxValue / MICROSECONDS_PER_MS
    }
  }
}

/** Counter that only increases. */
export class Counter {
  value = 0

  /** @param amount - amount to add (default 1) */
  add (amount = 1): void {
    this.value += amount
  }
}

interface MetricEntry<T> {
  name: string
  labels: Labels
  metric: T
}

/** All metrics of one node. */
export class Metrics {
  private readonly counters = new Map<string, MetricEntry<Counter>>()
  private readonly timers = new Map<string, MetricEntry<LatencyHistogram>>()
  private readonly gauges = new Map<string, MetricEntry<() => number>>()

  /**
   * Returns a counter, which is created on first use.
   *
   * @param name - name of the metric
   * @param labels - labels of the series
   * @returns the counter
   */
  counter (name: string, labels: Labels = {}): Counter {
    return getOrCreate(this.counters, name, labels, () => new Counter())
  }

  /**
   * Returns a latency histogram, which is created on first use.
   *
   * @param name - name of the metric
   * @param labels - labels of the series
   * @returns the histogram
   */
  timer (name: string, labels: Labels = {}): LatencyHistogram {
    return getOrCreate(this.timers, name, labels, () => new LatencyHistogram())
  }

  /**
   * Registers a gauge. A gauge of the same name and labels is replaced.
   *
   * @param name - name of the metric
   * @param read - called for the current value
   * @param labels - labels of the series
   */
  gauge (name: string, read: () => number, labels: Labels = {}): void {
    this.gauges.set(seriesKey(name, labels), { name, labels, metric: read })
  }

  /** @returns the current values of all series */
  snapshot (): Series[] {
    const counters = [...this.counters.values()].map(({ name, labels, metric }): Series => ({ kind: 'counter', name, labels, value: metric.value }))
    const gauges = [...this.gauges.values()].map(({ name, labels, metric }): Series => ({ kind: 'gauge', name, labels, value: metric() }))
    const timers = [...this.timers.values()].map(({ name, labels, metric }): Series => ({ kind: 'timer', name, labels, value: metric.summary() }))
    return [...counters, ...gauges, ...timers]
  }

  /** @returns all series in the Prometheus text format */
  render (): string {
    const lines: string[] = []
    for (const { name, labels, metric } of this.counters.values()) lines.push(`${name}_total${formatLabels(labels)} ${metric.value}`)
    for (const { name, labels, metric } of this.gauges.values()) lines.push(`${name}${formatLabels(labels)} ${metric()}`)
    for (const { name, labels, metric } of this.timers.values()) {
      for (const quantile of QUANTILES) {
        lines.push(`${name}_ms${formatLabels({ ...labels, quantile: String(quantile) })} ${metric.quantile(quantile)}`)
      }
      lines.push(`${name}_ms_count${formatLabels(labels)} ${metric.count}`)
    }
    return lines.map(line => line + '\n').join('')
  }
}

function getOrCreate<T> (entries: Map<string, MetricEntry<T>>, name: string, labels: Labels, create: () => T): T {
  const key = seriesKey(name, labels)
  const existing = entries.get(key)
  if (existing !== undefined) return existing.metric
  const metric = create()
  entries.set(key, { name, labels, metric })
  return metric
}

function seriesKey (name: string, labels: Labels): string {
  return name + formatLabels(labels)
}

function formatLabels (labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}
