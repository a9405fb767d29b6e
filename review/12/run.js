import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { callUntilDone, newId } from '../lib3/caller.js'
import { runCase } from '../lib3/run.js'

const KILLS = Number(process.env.KILLS ?? 8)
const KILL_INTERVAL_MS = 8000
const LARGE_JOBS = Number(process.env.LARGE_JOBS ?? 90)
const LARGE_TASKS = 10_000
const WORKERS = 8
/** Small jobs in a second. */
const SMALL_RATE = Number(process.env.SMALL_RATE ?? 100)

const jobs = new Map()

await runCase(fileURLToPath(new URL('.', import.meta.url)), {
  routes: { renders: { priority: 2 }, batches: { priority: 2 }, audio: { priority: 2 }, images: { priority: 2 }, checks: { priority: 0 } },
  workers: [
    { count: 1, capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 0 }, labels: ['a', 'r1-1'] },
    { count: WORKERS - 1, capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 0 }, labels: ['b', 'r1-2'] },
    { count: 1, capacity: { cpu: 50_000, mem_mb: 262_144, gpu: 0 }, labels: ['c', 'r1-3'] }
  ],
  planOf: task => {
    const [id, , step] = task.split('.')
    const job = jobs.get(id)
    return job && { spec: job.spec, duration: job.durations[Number(step)] }
  },
  play: async ({ store, fleet, nodes, note, isTroubled }) => {
    store.onTooLarge = fields => note(`the store refuses a transaction: ${JSON.stringify(fields)}`)
    const submit = async (queue, durations, steps) => {
      const id = newId()
      const job = { id, spec: `${queue} ${id}`, durations }
      jobs.set(id, job)
      job.answer = await callUntilDone(nodes.nodes, { method: 'POST', path: `/${queue}/${id}`, host: 'desk.example', body: { spec: job.spec, steps } })
      return job
    }
    const large = []
    for (let index = 0; index < LARGE_JOBS; index++) {
      large.push(await submit(['renders', 'batches', 'audio', 'images'][index % 4], [3000], [{ count: LARGE_TASKS, cpu: 300, mem_mb: 64, estimate_ms: 3000, anti_affinity: 1 }]))
    }
    note(`${large.filter(({ answer }) => answer.status === 200).length} jobs of ${LARGE_TASKS} tasks were accepted`)
    let accepted = 0
    const submitSmall = () => { submit('checks', [150, 1000], [{ count: 1, cpu: 100, mem_mb: 16, estimate_ms: 150, requirements: 'a' }, { count: 1, cpu: 1000, mem_mb: 16, estimate_ms: 1000, after: [0], requirements: 'c' }]).then(({ answer }) => { if (answer.status === 200) accepted++ }) }
    for (let index = 0; index < 300; index++) {
      submitSmall()
      if (index % 20 === 19) await sleep(200)
    }
    const stream = setInterval(submitSmall, 1000 / SMALL_RATE)
    await sleep(4000)
    const describe = () => `${accepted} small jobs accepted; ${fleet.workers.reduce((sum, { running }) => sum + running.size, 0)} tasks run; ${fleet.events.filter(({ kind, how }) => kind === 'end' && how === 'done').length} are done; ${fleet.findTwice().length} started again`
    note(describe())
    for (let kill = 0; kill < KILLS; kill++) {
      if (isTroubled) {
        const node = nodes.decider()
        node.child.kill('SIGKILL')
        note(`${node.name} is killed`)
      }
      await sleep(KILL_INTERVAL_MS)
      note(`${nodes.decider().name} decides; ${describe()}`)
    }
    clearInterval(stream)
    await sleep(3000)
    const twice = fleet.findTwice()
    for (const { rule, task, run, worker, at, others, done } of twice.slice(0, 40)) note(`BROKEN task ${task} run ${run} on ${worker} starts at ${at}: ${rule}; ${done === undefined ? others.join(', ') : `run ${done.run} on ${done.worker} at ${done.at}`}`)
    note(`${twice.length} starts of tasks that had ended as done, or ran`)
    return { isBroken: twice.length > 0 }
  }
})
