import { describe, test } from 'node:test'
import { expect } from 'earl'
import { Metrics } from '../../src/index.js'

describe('the metrics of a process', () => {
  test('show quantiles and count of each latency histogram', () => {
    const metrics = new Metrics()
    const timer = metrics.timer('call', { outcome: 'done' })
    for (let duration = 1; duration <= 100; duration++) timer.record(duration)
    const lines = metrics.render().split('\n')
    expect(lines.slice(0, 4)).toEqual([
      'call_ms{outcome="done",quantile="0.5"} 50.175',
      'call_ms{outcome="done",quantile="0.9"} 90.111',
      'call_ms{outcome="done",quantile="0.99"} 99.327',
      'call_ms_count{outcome="done"} 100'
    ])
  })

  // A scrape must not delay heartbeats and commits: an instance with an eighth of a core needs eight times the processor time.
  test('are rendered in a few milliseconds of processor time', () => {
    const metrics = new Metrics()
    for (let series = 0; series < 12; series++) {
      const timer = metrics.timer('call', { series: String(series) })
      for (let sample = 0; sample < 5000; sample++) timer.record(3000 * (sample / 5000) ** 4)
    }
    metrics.render()
    const before = process.cpuUsage()
    for (let scrape = 0; scrape < 10; scrape++) metrics.render()
    const { user, system } = process.cpuUsage(before)
    expect((user + system) / 10_000).toBeLessThan(10)
  })
})
