import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { call, callUntilDone, newId } from '../lib3/caller.js'
import { runCase } from '../lib3/run.js'

/** Bounds of the sites of the small deployments. */
const CANCEL_MS = 3000
const CONTACT_MS = 3000
const ACK_MS = 4000
/** Dose of `platform_lost` in `sites/bluemahoe-hunts.toml`. */
const LOSS = 0.35
const LOSS_MS = 4500
/** Time after which a consumer leaves that has no answer yet. */
const LEAVE_MS = 150
/** Dose of `give_up` there: a share of 0.25 of the consumers; 12.5 in 52.5 a second here. */
const PAIR_INTERVAL_MS = 80
const ORDINARY_INTERVAL_MS = 25
const FIRST_STEP_MS = 13_000

const jobs = new Map()

await runCase(fileURLToPath(new URL('.', import.meta.url)), {
  routes: { checks: {} },
  workers: [{ count: 6, capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 }, labels: ['a', 'r1-1'] }],
  planOf: task => {
    const [id, , step] = task.split('.')
    const job = jobs.get(id)
    return job && { spec: job.spec, duration: job.durations[Number(step)] }
  },
  play: async ({ store, fleet, nodes, note, isTroubled }) => {
    const origin = performance.now()
    const at = time => `${((time - origin) / 1000).toFixed(3)} s`
    const handIn = (durations, steps) => {
      const id = newId()
      const job = { id, spec: `check ${id}`, durations, sentAt: performance.now() }
      jobs.set(id, job)
      job.body = { spec: job.spec, steps }
      return job
    }
    const request = (job, method, extra = {}) => ({ method, path: `/checks/${job.id}`, host: 'desk.example', timeout: 3000, ...extra })
    const pick = () => nodes.nodes[Math.floor(Math.random() * nodes.nodes.length)].callers

    // Ordinary jobs, 40 a second.
    const background = setInterval(() => {
      const job = handIn([200], [{ count: 1, cpu: 200, mem_mb: 64, estimate_ms: 200 }])
      callUntilDone(nodes.nodes, request(job, 'POST', { body: job.body }))
    }, ORDINARY_INTERVAL_MS)
    await sleep(2000)

    if (isTroubled) {
      store.loss = LOSS
      note(`the store loses the answers of ${LOSS} of the transactions for ${LOSS_MS} ms`)
    }
    const leavers = []
    const leave = async job => {
      const submission = call(pick(), request(job, 'POST', { body: job.body, isOwnChannel: true })).then(answer => { job.submitted = { ...answer, at: performance.now() } })
      await sleep(LEAVE_MS)
      // A consumer that knows that its job is accepted has no reason to leave here.
      job.wasAnswered = job.submitted !== undefined
      job.cancelSentAt = performance.now()
      const answer = await callUntilDone(nodes.nodes, request(job, 'DELETE', { isOwnChannel: true }))
      job.cancelled = { ...answer, at: performance.now() }
      await submission
    }
    for (const until = performance.now() + LOSS_MS; performance.now() < until;) {
      const job = handIn([FIRST_STEP_MS, 500], [{ count: 1, cpu: 100, mem_mb: 64, estimate_ms: FIRST_STEP_MS }, { count: 1, cpu: 100, mem_mb: 64, estimate_ms: 500, after: [0] }])
      leavers.push({ job, done: leave(job) })
      await sleep(PAIR_INTERVAL_MS)
    }
    store.loss = 0
    const healedAt = performance.now()
    note(`the store answers again; ${store.lost} answers were lost`)
    await Promise.all(leavers.map(({ done }) => done))
    clearInterval(background)
    await sleep(FIRST_STEP_MS + 5000)

    let broken = 0
    for (const { job } of leavers) {
      const isAcknowledged = job.cancelled.status === 410 || (job.cancelled.status >= 200 && job.cancelled.status < 300)
      const starts = fleet.events.filter(({ kind, task }) => kind === 'start' && task.startsWith(job.id))
      // The cancelling is acknowledged, or has waited for that in the steady state, in which the store has been without disturbance for a while.
      const steadyFrom = Math.max(job.cancelSentAt, isTroubled ? healedAt + CONTACT_MS : 0)
      const settledAt = Math.min(isAcknowledged ? job.cancelled.at : Infinity, steadyFrom + ACK_MS)
      const isAccepted = job.submitted.status === 200 || starts.length > 0
      const late = isAccepted ? starts.filter(start => start.at > settledAt + CANCEL_MS && start.at > healedAt + CONTACT_MS) : []
      const state = await call(pick(), request(job, 'GET'))
      const text = `job ${job.id}: POST sent ${at(job.sentAt)}, ${job.submitted.status} at ${at(job.submitted.at)}; DELETE sent ${at(job.cancelSentAt)}, ${job.cancelled.status} at ${at(job.cancelled.at)}; starts ${starts.map(({ task, run, at: time }) => `${task.slice(17)} run ${run} at ${at(time)}`).join(', ') || 'none'}; GET ${state.status} ${state.body?.state ?? ''}`
      if (late.length > 0) broken++
      note(`${late.length > 0 ? 'BROKEN ' : ''}${text}`)
    }
    note(`${leavers.length} jobs were cancelled, ${leavers.filter(({ job }) => job.cancelled.status === 410).length} of them answered 410; ${broken} started a task later than ${CANCEL_MS} ms after the acknowledgement, or after ${ACK_MS} ms of steady state without one`)
    return { isBroken: broken > 0 }
  }
})
