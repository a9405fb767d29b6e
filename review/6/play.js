// Scheduled jobs of which no occurrence is due end one node process after the other.
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib2/Stage.js'

const PREFIX = '/reports/'
/** Scheduled jobs: each runs one short task every minute, for a week or, without the disruption, for an hour. */
const SCHEDULED_JOBS = 10
const MINUTE_MS = 60_000
const WEEK = 7 * 24 * 60
const HOUR = 60
const PLAIN_JOBS = 6
const OBSERVED_MS = 40_000
/** Bounds of the rules. */
const MAX_ENDS = 3
const MIN_MACHINES = 2
const FINISH_MS = 14_000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (stage, hasTrouble) => {
  await stage.start({
    nodes: 4,
    routes: [{ name: 'reports', prefix: PREFIX }],
    workers: Array.from({ length: 8 }, (_, index) => ({ id: `i-${index}`, labels: ['a', `r1-${1 + index % 3}`], durationOf: () => 300 }))
  })
  const step = { count: 1, cpu: 1000, mem_mb: 500, estimate_ms: 300 }
  const first = Math.ceil((Date.now() + MINUTE_MS) / MINUTE_MS) * MINUTE_MS
  for (let number = 0; number < SCHEDULED_JOBS; number++) {
    await stage.submit(`${PREFIX}5c4ed00000000${number.toString(16).padStart(3, '0')}`, { spec: `report ${number}`, steps: [step], repeat_count: hasTrouble ? WEEK : HOUR, first_run_ms: first, interval_ms: MINUTE_MS })
  }
  const accepted = []
  for (let number = 0; number < PLAIN_JOBS; number++) {
    const id = `00000000000000a${number}`
    if (await stage.submit(PREFIX + id, { spec: `plain ${number}`, steps: [step] })) accepted.push(id)
  }
  await sleep(OBSERVED_MS)
  const broken = []
  const ending = stage.nodes.filter(({ ends = 0 }) => ends >= MAX_ENDS)
  stage.record({ event: 'ends', nodes: stage.nodes.map(({ name, ends = 0 }) => `${name}: ${ends}`) })
  if (ending.length >= MIN_MACHINES) broken.push(`Fault: the processes of ${ending.length} of ${stage.nodes.length} machines have ended by themselves ${MAX_ENDS} times or more: ${stage.nodes.map(({ ends = 0 }) => ends).join(', ')}`)
  const scheduled = `${PREFIX}5c4ed00000000000`
  for (const path of [scheduled, ...accepted.map(id => PREFIX + id)]) {
    let state
    for (const until = stage.now() + FINISH_MS / 4; state === undefined && stage.now() < until;) {
      for (const node of stage.nodes) state ??= (await stage.send(node, 'GET', path)).body?.state
      if (state === undefined) await sleep(200)
    }
    stage.record({ event: 'state', path, state })
    if (state === undefined || (path !== scheduled && state !== 'completed')) broken.push(`LOST: the accepted job ${path} is ${state ?? 'not answered for'}`)
    if (stage.now() > 100_000) break
  }
  return broken
})
