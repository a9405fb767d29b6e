import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib/Cell.js'

const PREFIX = '/check/'
const NODES = 5
const JOBS = 12
const JOB = { prefix: PREFIX, steps: [{ count: 1, cpu: 1400, duration: () => 540 }] }
/** Time from the answers to the jobs until the process of the decider is killed, and until it is started again. */
const KILL_AFTER_MS = 5000
const RESTART_AFTER_MS = 1000
/** Time from the kill until the requests are sent once more. */
const REPEAT_AFTER_MS = 4000
/** Time for which the store turns a node away then. */
const TURNED_AWAY_MS = 1500
const SETTLE_MS = 3000

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell, isTroubled) => {
  await cell.start({
    nodes: NODES,
    workers: Array.from({ length: 8 }, (_, index) => ({ cpu: 16_000, labels: ['a', `r1-${Math.floor(index / 6)}`] })),
    routes: [{ name: 'r-check', prefix: PREFIX, priority: 0, max_attempts: 2, stretch: 1.5, target_latency_ms: 250 }]
  })
  const jobs = await Promise.all(Array.from({ length: JOBS }, async (_, index) => await cell.submit(cell.nodes[index % NODES], JOB)))
  await sleep(KILL_AFTER_MS)
  for (const job of jobs.slice(0, 3)) await cell.state(cell.nodes[0], job)
  const decider = cell.decider()
  if (isTroubled) {
    decider.signal('SIGKILL')
    await sleep(RESTART_AFTER_MS)
    decider.start()
  }
  await sleep(REPEAT_AFTER_MS)
  await cell.until(async () => (await Promise.all(cell.nodes.map(async node => await node.isReady()))).every(Boolean), 10_000, 'all nodes are ready again')
  const entry = cell.nodes.find(node => node !== cell.decider())
  cell.journal.write('seen', `${cell.decider().name} decides`)
  if (isTroubled) {
    cell.store.gates.set(entry.name, 'reset')
    cell.journal.write('trouble', `the store turns ${entry.name} away with resets`)
  }
  const repeats = Promise.all(jobs.map(async job => await cell.submit(entry, JOB, job.id)))
  await sleep(TURNED_AWAY_MS)
  cell.store.gates.set(entry.name, 'open')
  if (isTroubled) cell.journal.write('trouble', `the store serves ${entry.name} again`)
  await repeats
  await sleep(SETTLE_MS)
  for (const job of jobs.slice(0, 3)) await cell.state(entry, job)
})
