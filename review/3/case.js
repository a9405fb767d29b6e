import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib/Cell.js'

const PREFIX = '/verify/'
const NODES = 3
const WORKERS = 8
const ROUNDS = 6
/** A job of `final-verify` that fills half of the workers: tasks of 4.5 cores, three to a worker. */
const JOB = { count: 12, cpu: 4500, duration: () => 7000 }
/** Time before the first round, so that the workers' clocks are ahead of those after a restart. */
const WARM_UP_MS = 12_000
const DOWN_MS = 300
/** Time from the restart until the job is sent, and until the worker is cut off. */
const SUBMIT_AFTER_MS = 50
const CUT_AFTER_MS = 1000
const CUT_MS = 5500
const SETTLE_MS = 6500

await runCase(dirname(fileURLToPath(import.meta.url)), async (cell, isTroubled) => {
  await cell.start({
    nodes: NODES,
    workers: Array.from({ length: WORKERS }, (_, index) => ({ cpu: 16_000, labels: ['a', `r1-${Math.floor(index / 6)}`] })),
    routes: [{ name: 'r-verify', prefix: PREFIX, priority: 1, max_attempts: 3, stretch: 2.2, target_latency_ms: 1000 }]
  })
  await sleep(WARM_UP_MS)
  for (let round = 1; round <= ROUNDS && cell.fleet.broken.length === 0; round++) {
    await sleep(1000 * Math.random())
    const worker = cell.fleet.workers[(round - 1) % 4]
    cell.journal.write('round', `${round}: nothing runs on ${worker.id}, clock_ms ${worker.clock()}`)
    if (isTroubled) {
      worker.crash()
      cell.journal.write('trouble', `worker ${worker.id} goes down`)
      await sleep(DOWN_MS)
      await worker.start()
      cell.journal.write('trouble', `worker ${worker.id} is up again under its id, born ${worker.born}`)
    }
    await sleep(SUBMIT_AFTER_MS)
    const job = await cell.submit(cell.nodes[round % NODES], { prefix: PREFIX, steps: [JOB] })
    await sleep(CUT_AFTER_MS)
    if (isTroubled) {
      worker.isCut = true
      cell.journal.write('trouble', `worker ${worker.id} is cut off and runs on`)
    }
    await sleep(CUT_MS)
    if (isTroubled) {
      worker.isCut = false
      cell.journal.write('trouble', `worker ${worker.id} is reached again`)
    }
    await sleep(SETTLE_MS)
    await cell.state(cell.nodes[0], job)
  }
})
