import { Agent, request } from 'undici'
import { SystemClock } from '@rattanstep/core'
import { startNode } from '@rattanstep/node'
import { parseSettings } from '@rattanstep/rules'
import { startEmbeddedPlatform } from '@rattanstep/stand-ins'
import { JsonLog, LatencyHistogram } from '@rattanstep/telemetry'

/**
 * Measures the latency that a node adds to a request. Sends the same requests directly to a worker and through one node, in
 * one run over loopback, with the decision log enabled. Callers, node and worker share one process and one core.
 */

const RULES = `classes:
  - { name: quick, kind: request, priority: 50, patience: 2s, bound: 5s, expected: 5ms } # bench
routes:
  - { path: "/**", class: quick, idempotent: true } # bench
`

const SETTINGS = `id: hop
cell: bench
dataCentre: north
front: 127.0.0.1:0
peer: 127.0.0.1:0
control: 127.0.0.1:0
platform: 127.0.0.1:1
secret: secret-of-the-hop-bench
`

/** Number of requests in one measurement, after the warm-up requests. */
const REQUEST_COUNT = 6000
const WARM_UP_COUNT = 1500
const CONCURRENCIES = [1, 8, 32]
const BODY = 'x'.repeat(500)

interface Figures {
  /** Median latency in ms. */
  p50: number
  /** 99th percentile of the latency in ms. */
  p99: number
  /** Requests per second. */
  rate: number
  /** Number of requests that were not echoed with status 200. */
  failed: number
}

async function measureRequests (base: string, concurrency: number, count: number): Promise<Figures> {
  const dispatcher = new Agent({ connections: concurrency })
  const times = new LatencyHistogram()
  let remaining = count
  let failed = 0
  const sendRequests = async (): Promise<void> => {
    while (remaining-- > 0) {
      const startedAt = performance.now()
      const answer = await request(`${base}/hop`, { method: 'POST', body: BODY, dispatcher })
      const text = await answer.body.text()
      if (answer.statusCode !== 200 || text !== BODY) failed++
      times.record(performance.now() - startedAt)
    }
  }
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: concurrency }, sendRequests))
  const seconds = (performance.now() - startedAt) / 1000
  await dispatcher.close()
  return { p50: times.quantile(0.5), p99: times.quantile(0.99), rate: count / seconds, failed }
}

function formatFigures ({ p50, p99, rate, failed }: Figures): string {
  return `${p50.toFixed(2)} | ${p99.toFixed(2)} | ${Math.round(rate)} | ${failed}`
}

const platform = await startEmbeddedPlatform({ workers: 4, clock: new SystemClock(), resources: { slots: 16, cores: 16, memory: 65_536, accelerators: 0 } })
const self = { id: 'hop', role: 'entry' as const, state: 'live' as const, dataCentre: 'north', rack: 'r0', address: { host: '127.0.0.1', port: 1 }, resources: { slots: 0, cores: 0, memory: 0, accelerators: 0 }, connections: 0 }
platform.instances.add(self)
const settings = parseSettings(SETTINGS, { file: 'bench' }).unwrap()
const log = new JsonLog({ node: 'hop', destination: { write: () => {} } })
const node = await startNode({ settings, platform, log, rules: RULES })
await node.whenServing()
const straight = `http://127.0.0.1:${platform.servers[0]!.instance.address.port}`
const through = `http://127.0.0.1:${node.addresses.front.port}`
console.log('| in flight | way | p50, ms | p99, ms | requests a second | failed |')
console.log('| --- | --- | --- | --- | --- | --- |')
for (const concurrency of CONCURRENCIES) {
  for (const [way, base] of [['straight', straight], ['through a node', through]] as const) {
    await measureRequests(base, concurrency, WARM_UP_COUNT)
    console.log(`| ${concurrency} | ${way} | ${formatFigures(await measureRequests(base, concurrency, REQUEST_COUNT))} |`)
  }
}
await node.stop()
await platform.close()
process.exit(0)
