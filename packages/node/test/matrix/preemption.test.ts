import { test } from 'node:test'
import { expect } from 'earl'
import { Cluster } from '../support/Cluster.js'

const RULES = `classes:
  - { name: urgent, kind: request, priority: 90, patience: 3s, bound: 5s, expected: 50ms, preempts: stop } # test
  - { name: renders, kind: batch, priority: 20, patience: 1h, bound: 1h, expected: 12s } # test
routes:
  - { path: "/**", class: urgent } # test
`

/** Time within which urgent work must start. */
const START_TIMEOUT_MS = 1600

test('urgent requests start in time on workers that are full of tasks, and the tasks finish later', async () => {
  const cluster = new Cluster({ seed: 3, rules: RULES })
  await cluster.run(11_000)
  const resources = { slots: 1, cores: 1, memory: 32, accelerators: 0 }
  const tasks = Array.from({ length: 6 }, () => ({ command: 'run 12000', resources }))
  const process = cluster.processes[0]!
  const submitted = process.member.jobs.submit({ id: 'renders', kind: 'batch', class: 'renders', tasks })
  await cluster.run(4000)
  expect((await submitted).isOk()).toEqual(true)
  const { endpoints, checker } = cluster.environment
  const isFull = (): boolean => cluster.workers.every(worker => endpoints.host(worker).usedResources().slots === 2)
  expect(isFull()).toEqual(true)
  for (let sent = 0; sent < 4; sent++) {
    cluster.send({ request: cluster.nextRequest(), class: 'urgent', idempotent: false, key: '', firstSent: 0, duration: 50 })
  }
  await cluster.run(START_TIMEOUT_MS)
  expect(checker.counts().runs).toEqual(4)
  const areDone = (): boolean => {
    const rows = cluster.environment.platform.table.peek('task/renders/')
    return rows.length === 6 && rows.every(row => (JSON.parse(row.value) as { state: string }).state === 'done')
  }
  expect(await cluster.until(areDone, 120_000)).toEqual(true)
  expect(checker.violations).toEqual([])
})
