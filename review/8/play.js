// Jobs whose cancelling was acknowledged are started when a node that was frozen wakes up with their requests.
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib2/Stage.js'

const PREFIX = '/answers/'
const JOBS = 16
const WORK_MS = 1500
/** Time for which the node is frozen. */
const FROZEN_MS = 4000
/** Time after which the consumers leave: half of their objective of 1,000 ms. */
const PATIENCE_MS = 500
/** Bounds of the rule. */
const CANCEL_MS = 3000
const STOP_MS = 400
const OBSERVED_MS = 9000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (stage, hasTrouble) => {
  const acknowledged = new Map()
  const broken = []
  const late = new Set()
  const jobOf = task => task.split('.')[0]
  await stage.start({
    nodes: 3,
    routes: [{ name: 'answers', prefix: PREFIX }],
    workers: Array.from({ length: 8 }, (_, index) => ({ id: `i-${index}`, labels: ['a', `r1-${1 + index % 3}`], durationOf: () => WORK_MS })),
    onEvent: ({ event, task, run, worker }, at) => {
      if (event !== 'run-started' || !acknowledged.has(jobOf(task))) return
      const delay = Math.round(at - acknowledged.get(jobOf(task)))
      if (delay > CANCEL_MS) broken.push(`run ${run} of ${task} was started on ${worker} ${delay} ms after the cancelling of its job was acknowledged`)
    }
  })
  const decider = stage.decider()
  const [frozen, ...others] = stage.nodes.filter(node => node !== decider)
  others.push(decider)

  /** A consumer that leaves when it has no answer in time, and then cancels its job at another node. */
  const consume = async number => {
    const id = `00000000000000e${number.toString(16)}`
    const body = { spec: `answer ${number}`, steps: [{ count: 1, cpu: 2000, mem_mb: 1000, estimate_ms: WORK_MS }] }
    const { status } = await stage.send(frozen, 'POST', PREFIX + id, body, PATIENCE_MS)
    stage.record({ event: 'consumer', id, answer: status })
    for (let attempt = 0; !acknowledged.has(id); attempt++) {
      const reply = await stage.send(others[attempt % others.length], 'DELETE', PREFIX + id)
      if (reply.status === 410 || (reply.status >= 200 && reply.status < 300)) acknowledged.set(id, stage.now())
      else await sleep(100)
    }
  }
  if (hasTrouble) {
    frozen.child.kill('SIGSTOP')
    stage.record({ event: 'SIGSTOP', node: frozen.name })
    setTimeout(() => {
      frozen.child.kill('SIGCONT')
      stage.record({ event: 'SIGCONT', node: frozen.name })
    }, FROZEN_MS)
  }
  await Promise.all(Array.from({ length: JOBS }, (_, number) => consume(number)))
  const until = stage.now() + OBSERVED_MS
  while (stage.now() < until) {
    for (const { options, running } of stage.workers) {
      for (const { task, run } of running.values()) {
        const delay = stage.now() - (acknowledged.get(jobOf(task)) ?? Infinity)
        if (delay > CANCEL_MS + STOP_MS && !late.has(task)) {
          late.add(task)
          stage.record({ event: 'runs on', worker: options.id, task, run, delay: Math.round(delay) })
        }
      }
    }
    await sleep(100)
  }
  for (const id of acknowledged.keys()) stage.record({ event: 'state', id, state: (await stage.send(others[0], 'GET', PREFIX + id)).body?.state })
  return broken
})
