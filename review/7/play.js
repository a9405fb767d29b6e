// A job of which no run was ever started is given up as one that crashes its workers.
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib2/Stage.js'

const PREFIX = '/renders/'
const ID = '00000000000000d1'
const NODES = 4
const WORKERS = 8
const MAX_ATTEMPTS = 3
const WORK_MS = 1000
const AWAY_MS = 1000
/** Times at which the process that has just placed the job's task and the worker that it has chosen are lost. */
const LOSSES = 2
const OBSERVED_MS = 30_000
/** Time after which a process that was killed is started again. */
const RESTART_MS = 3500

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (stage, hasTrouble) => {
  const ends = []
  let starts = 0
  let losses = 0
  await stage.start({
    nodes: NODES,
    routes: [{ name: 'renders', prefix: PREFIX, max_attempts: MAX_ATTEMPTS, stretch: 10 }],
    workers: Array.from({ length: WORKERS }, (_, index) => ({ id: `i-${index}`, labels: ['a', `r1-${1 + index % 3}`], durationOf: () => WORK_MS })),
    onEvent: ({ event, how }) => {
      if (event === 'run-started') starts++
      if (event === 'run-ended') ends.push(how)
    }
  })

  /** Loses the process that has written a record of the job, if it has placed the task, and the worker that the record names. */
  function handleWritten (puts) {
    const row = puts.find(({ table, key }) => table === 'tasks' && key === ID)
    if (row === undefined || !hasTrouble || losses === LOSSES) return
    const text = Buffer.from(row.value, 'base64').toString('utf8')
    const [, id = ''] = [JSON.parse(text).tasks?.[0][0][0]].flat()
    const worker = stage.workers.find(({ options, isUp }) => isUp && options.id === id)
    const node = stage.decider()
    if (worker === undefined || node?.child === undefined) return
    losses++
    stage.record({ event: 'placed', node: node.name, record: text })
    stage.kill(node)
    worker.crash().then(async () => {
      await sleep(AWAY_MS)
      await worker.start()
    })
    setTimeout(() => { stage.startNode(node) }, RESTART_MS)
  }
  stage.store.onWritten = handleWritten

  const isAccepted = await stage.submit(PREFIX + ID, { spec: 'render', steps: [{ count: 1, cpu: 4000, mem_mb: 8000, estimate_ms: WORK_MS }] }, 8)
  if (!isAccepted) throw new Error('the job was not accepted')
  const until = stage.now() + OBSERVED_MS
  let state
  for (let index = 0; stage.now() < until && state !== 'completed' && state !== 'failed'; index++) {
    await sleep(100)
    const node = stage.nodes[index % NODES]
    if (node.child !== undefined) state = (await stage.send(node, 'GET', PREFIX + ID)).body?.state ?? state
  }
  stage.record({ event: 'end', state, starts, ends, losses })
  if (hasTrouble && losses < LOSSES && state !== 'failed') throw new Error('the losses did not take place')
  if (state === 'completed') return []
  const failed = ends.filter(how => how === 'failed').length
  return [state === 'failed' ? `the job is shown as failed: ${starts} runs were started, ${failed} ended failed, max_attempts is ${MAX_ATTEMPTS}` : `the job is ${state} after ${OBSERVED_MS} ms`]
})
