import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { call, callUntilDone, newId } from '../lib3/caller.js'
import { runCase } from '../lib3/run.js'

/** Dose of `srv_crash` in `sites/bluemahoe-hunts.toml`: 0.14 of the workers for 4.5 s. */
const WORKERS = 40
const CRASHED = 5
const CRASH_MS = 4500
/** The workers' capacity in `sites/bluemahoe-hunts.toml`. */
const CAPACITY = { cpu: 16_000, mem_mb: 65_536, gpu: 0 }
/** Bounds of the sites of the small deployments. */
const FINISH_MS = 14_000
const STALL_MS = 3000

const jobs = new Map()

await runCase(fileURLToPath(new URL('.', import.meta.url)), {
  routes: { renders: {}, checks: { priority: 0 } },
  workers: [{ count: WORKERS, capacity: CAPACITY, labels: ['a', 'r1-1'] }],
  planOf: task => {
    const job = jobs.get(task.split('.')[0])
    return job && { spec: job.spec, duration: job.duration, saves: job.saves }
  },
  play: async ({ store, fleet, nodes, note, isTroubled }) => {
    let refusals = 0
    store.onTooLarge = fields => { if (refusals++ % 20 === 0) note(`the store refuses a transaction (number ${refusals}): ${JSON.stringify(fields)}`) }
    const submit = async (queue, duration, step) => {
      const id = newId()
      const job = { id, queue, spec: `${queue} ${id}`, duration, saves: step.checkpointing === true }
      jobs.set(id, job)
      job.answer = await callUntilDone(nodes.nodes, { method: 'POST', path: `/${queue}/${id}`, host: 'desk.example', body: { spec: job.spec, steps: [{ estimate_ms: duration, ...step }] } })
      return job
    }
    const stateOf = async ({ queue, id }) => {
      const { status, body } = await call(nodes.nodes[Math.floor(Math.random() * nodes.nodes.length)].callers, { method: 'GET', path: `/${queue}/${id}`, host: 'desk.example' })
      return `${status} ${body?.state ?? ''}`
    }
    const doneOf = ({ id }) => fleet.events.filter(({ kind, how, task }) => kind === 'end' && how === 'done' && task.startsWith(id)).length
    const runningOf = ({ id }) => fleet.workers.reduce((sum, { running }) => sum + [...running.keys()].filter(task => task.startsWith(id)).length, 0)

    const large = await submit('renders', 6000, { count: 6000, cpu: 100, mem_mb: 64, checkpointing: true })
    note(`job ${large.id} of 6000 tasks: ${large.answer.status}`)
    const report = async text => note(`${text}: ${doneOf(large)} tasks are done, ${runningOf(large)} run; record of the job ${store.rows.get(`tasks\nd\n${large.id}`) === undefined ? 'none' : Buffer.byteLength(store.rows.get(`tasks\nd\n${large.id}`).value, 'base64')} bytes; GET ${await stateOf(large)}`)
    for (const until = performance.now() + 55_000; doneOf(large) < 4000 && performance.now() < until;) await sleep(50)
    await sleep(3000)
    await report('before')
    const busiest = [...fleet.workers].sort((a, b) => b.running.size - a.running.size).slice(0, CRASHED)
    if (isTroubled) {
      note(`${CRASHED} of ${WORKERS} workers crash, with ${busiest.map(({ running }) => running.size).join(', ')} tasks`)
      for (const worker of busiest) worker.crash()
      await sleep(CRASH_MS)
      for (const worker of busiest) await worker.start()
      note('they are back')
    }
    for (let second = 0; second < 16; second += 4) {
      await sleep(4000)
      await report(`${second + 4} s later`)
    }
    const small = await submit('checks', 300, { count: 2, cpu: 100, mem_mb: 64 })
    note(`job ${small.id} of 2 tasks of 300 ms: ${small.answer.status}`)
    const acceptedAt = performance.now()
    await sleep(FINISH_MS)
    await report('at the end')
    const state = await stateOf(small)
    const started = fleet.events.filter(({ kind, task }) => kind === 'start' && task.startsWith(small.id))
    const waited = Math.round((started[0]?.at ?? performance.now()) - acceptedAt)
    const used = fleet.workers.reduce((sum, { running }) => sum + 100 * running.size, 0)
    note(`the small job: ${started.length} starts, the first after ${waited} ms; ${used} of ${WORKERS * CAPACITY.cpu} thousandths of a core are in use; GET ${state}; ${refusals} transactions were refused`)
    return { isBroken: small.answer.status === 200 && waited > STALL_MS && used < WORKERS * CAPACITY.cpu / 2 }
  }
})
