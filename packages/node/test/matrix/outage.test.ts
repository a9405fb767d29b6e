import { test } from 'node:test'
import { expect } from 'earl'
import { Cluster } from '../support/Cluster.js'

const HOUR_MS = 3_600_000

/** Time between two requests during the outage. */
const REQUEST_INTERVAL_MS = 2000

/** Time after the outage within which the workers of a dead node must have an owner again. */
const RECOVERY_TIMEOUT_MS = 30_000

test('requests are served during an hour without the table, and a node that died meanwhile is replaced afterwards', async () => {
  const cluster = new Cluster({ seed: 21 })
  await cluster.run(11_000)
  expect(cluster.isServed()).toEqual(true)
  const { platform, checker } = cluster.environment
  platform.table.faults.down = true
  let sent = 0
  const send = (): void => {
    cluster.send({ request: cluster.nextRequest(), class: 'usual', idempotent: false, key: '', firstSent: 0, duration: 50 })
    sent++
  }
  const end = cluster.simulation.time + HOUR_MS
  while (cluster.simulation.time < end) {
    send()
    await cluster.run(REQUEST_INTERVAL_MS)
    if (sent === 900) cluster.processes[0]!.kill()
  }
  const { run, runs, cut } = checker.counts()
  expect({ sent, run, runs, cut, violations: checker.violations }).toEqual({ sent: 1800, run: 1800, runs: 1800, cut: 0, violations: [] })
  expect(cluster.isServed()).toEqual(false)
  platform.table.faults.down = false
  expect(await cluster.until(() => cluster.isServed(), RECOVERY_TIMEOUT_MS)).toEqual(true)
})
