import { performance } from 'node:perf_hooks'
import { Registry } from '../../src/runtime/Registry.js'
import { submissionRowName } from '../../src/runtime/rowNames.js'
import { CellRig, stepOf } from '../support/CellRig.js'

const MINUTE_MS = 60_000
const JOBS = 1000

function createJob (index: number, occurrences: number, first = MINUTE_MS): Parameters<Registry['addJob']>[0] {
  return { id: index.toString(16).padStart(16, '0'), route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 0, repeat: { count: occurrences, first, interval: MINUTE_MS } }
}

function heapUsed (): number {
  globalThis.gc!()
  return process.memoryUsage().heapUsed
}

/** @returns KB of heap that a scheduled job takes in a registry */
function measureHeap (jobs: number, occurrences: number): number {
  const before = heapUsed()
  const registry = new Registry()
  for (let index = 0; index < jobs; index++) registry.addJob(createJob(index, occurrences), { now: 0, age: 0, wall: 0 })
  const size = heapUsed() - before
  return registry.jobs.size === jobs ? size / jobs / 1024 : NaN
}

/** @returns real ms until a decider has read scheduled jobs and is ready, and KB of heap that the cell then takes for each */
async function measureStart (jobs: number, occurrences: number): Promise<{ duration: number, heap: number }> {
  const before = heapUsed()
  const rig = new CellRig({ nodes: 1 })
  for (let index = 0; index < jobs; index++) {
    const job = createJob(index, occurrences, rig.clock.wall() + MINUTE_MS)
    rig.tables.put(submissionRowName(job.id), JSON.stringify(job))
  }
  const since = performance.now()
  await rig.until(() => rig.decider !== undefined)
  return { duration: performance.now() - since, heap: (heapUsed() - before) / jobs / 1024 }
}

console.log('| occurrences of each job | KB a job in the registry | start of a decider, ms | KB a job in the whole rig |\n| --- | --- | --- | --- |')
for (const occurrences of [1, 60, Number(process.env.MOST ?? 10_080)]) {
  const jobs = Math.min(JOBS, Number(process.env.TASKS ?? Infinity) / occurrences)
  const heap = measureHeap(jobs, occurrences)
  const start = await measureStart(jobs, occurrences)
  console.log(`| ${occurrences} (${jobs} jobs) | ${heap.toFixed(1)} | ${start.duration.toFixed(0)} | ${start.heap.toFixed(1)} |`)
}
