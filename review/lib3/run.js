import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { call } from './caller.js'
import { Fleet } from './workers.js'
import { Nodes } from './nodes.js'
import { Store } from './store.js'

/**
 * Runs a case: starts store, workers and nodes, plays it, and ends all that it started.
 *
 * @param folder - folder of the case, which gets `record.txt`
 * @param options - `nodes`: number of nodes; `routes`: routes of the manifest, by name; `workers`: groups of workers, each with `count`, `capacity` and `labels`;
 *   `play`: plays the case and returns `{ isBroken, lines }`, or throws if it couldn't run
 */
export async function runCase (folder, { nodes: count = 3, routes, workers, planOf, play, bounds }) {
  const isTroubled = process.env.TROUBLE !== '0'
  const temporary = mkdtempSync(join(tmpdir(), 'review-'))
  const lines = [`trouble: ${isTroubled ? 'yes' : 'no'}`]
  const startedAt = performance.now()
  const note = text => {
    const line = `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`
    lines.push(line)
    console.log(line)
  }
  const store = new Store()
  const fleet = new Fleet({ store, service: 'desk', planOf })
  const nodes = new Nodes({ store, folder: temporary, bounds })
  let code = 2
  const overtime = setTimeout(() => {
    note('the case took longer than 118 s')
    end()
    process.exit(2)
  }, 118_000)
  const end = () => {
    nodes.stop()
    fleet.stop()
    store.stop()
    writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n')
  }
  const abandon = text => {
    note(`the case couldn't run: ${text}`)
    end()
    process.exit(2)
  }
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => abandon(`ended by ${signal}`))
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, error => abandon(error?.stack))
  try {
    await store.start()
    store.put('op', '', 'config', { version: 3, routes: Object.entries(routes).map(([name, route]) => ({ name, hostname: 'desk.example', prefix: `/${name}/`, service: 'desk', max_attempts: 3, stretch: 2, target_latency_ms: 1000, priority: 1, ...route })), services: [{ name: 'desk', enforces_capacity: false }], limits: { max_body_bytes: 262_144 } })
    for (const { count: size, ...options } of workers) await fleet.add(size, options)
    await nodes.start(count)
    await untilReady(nodes)
    note(`${count} nodes are ready; ${fleet.workers.length} workers`)
    const { isBroken } = await play({ store, fleet, nodes, note, isTroubled, startedAt })
    code = isBroken ? 1 : 0
    note(isBroken ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    note(`the case couldn't run: ${error.stack}`)
  }
  clearTimeout(overtime)
  end()
  if (process.env.KEEP === '1') console.log(temporary)
  else rmSync(temporary, { recursive: true, force: true })
  process.exit(code)
}

async function untilReady (nodes) {
  for (const deadline = performance.now() + 15_000; performance.now() < deadline;) {
    const replies = await Promise.all(nodes.nodes.map(async ({ ip }) => await call(`${ip}:8167`, { method: 'GET', path: '/readiness', host: 'ready', timeout: 500 })))
    if (replies.every(({ status }) => status === 200) && nodes.decider() !== undefined) return await sleep(1500)
    await sleep(100)
  }
  throw new Error('the nodes are not ready in time')
}
