import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { Load } from '../support/Load.js'
import { openRelay } from '../support/openRelay.js'
import type { Relay } from '../support/openRelay.js'
import { TestCell, post } from './TestCell.js'

const cell = new TestCell()
const WORKERS = ['w1', 'w2', 'w3', 'w4']
let relay: Relay

/** Minimum number of requests that must run for the test to be meaningful. */
const MIN_RUNS = 500
/** The test takes 32 to 68 s while other tests load the machine. */
const TEST_TIMEOUT_MS = 120_000
/** Time until all nodes serve again above which their state is printed. */
const SLOW_RECOVERY_MS = 10_000
/** Time after the last fault within which every node serves again; the state of the nodes is printed if one doesn't. */
const RECOVERY_LIMIT_MS = 45_000

before(async () => {
  await cell.startPlatform()
  for (const id of WORKERS) await cell.startWorker(id)
  relay = await relayWorker(0)
  for (const id of ['n1', 'n2', 'n3']) await cell.startNode(id)
})

after(async () => {
  relay.close()
  await cell.close()
})

async function relayWorker (number: number): Promise<Relay> {
  const worker = cell.workers[number]!
  const { hostname, port } = new URL(worker.url)
  const opened = await openRelay({ host: hostname, port: Number(port) })
  await post(`${cell.platform}/instances/register`, {
    id: WORKERS[number],
    role: 'worker',
    state: 'live',
    dataCentre: 'a',
    rack: 'r1',
    address: opened.address,
    resources: { slots: 8, cores: 16, memory: 65536, accelerators: 0 },
    connections: 60
  })
  return opened
}

function runningFronts (): string[] {
  return cell.nodes.filter(node => node.process.exitCode === null && !node.process.killed).map(node => `http://127.0.0.1:${node.addresses.front.port}`)
}

async function sleep (duration: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, duration))
}

async function readRuns (): Promise<{ tags: Map<string, number>, violations: string[] }> {
  const tags = new Map<string, number>()
  const violations: string[] = []
  for (const worker of cell.workers) {
    const log = await (await fetch(`${worker.url}/rattanstep/log`, { method: 'POST', body: '{}' })).json() as { tags: Record<string, number>, violations: string[] }
    violations.push(...log.violations)
    for (const [tag, count] of Object.entries(log.tags)) tags.set(tag, (tags.get(tag) ?? 0) + count)
  }
  return { tags, violations }
}

test('no request is lost, run twice or answered wrongly after kills, pauses longer than the lease, silent connections and a table outage', { timeout: TEST_TIMEOUT_MS }, async () => {
  const load = new Load({ fronts: runningFronts, concurrency: 24, seed: 7 })
  await sleep(1500)
  const silenced = relay.silence()
  await sleep(2500)
  cell.nodes[0]!.process.kill('SIGKILL')
  await cell.nodes[0]!.exited
  await sleep(1500)
  await cell.startNode('n4')
  await sleep(2000)
  cell.nodes[1]!.process.kill('SIGSTOP')
  await sleep(6000)
  cell.nodes[1]!.process.kill('SIGCONT')
  await sleep(1500)
  await cell.setFaults('table', { down: true })
  await sleep(4000)
  const servedInOutage = load.results.length
  cell.nodes[2]!.process.kill('SIGKILL')
  await sleep(2000)
  await cell.setFaults('table', { down: false })
  await sleep(4000)
  const stoppedAt = Date.now()
  await load.stop()
  if (Date.now() - stoppedAt > SLOW_RECOVERY_MS) console.log(`the last request ended only after ${Date.now() - stoppedAt} ms\n${JSON.stringify(load.slowest(5))}\n${cell.describeNodes()}`)
  const endedByItself = cell.nodes.filter(({ id, process: child }) => (id === 'n2' || id === 'n4') && (child.exitCode !== null || child.signalCode !== null)).map(({ id }) => id)
  if (endedByItself.length > 0) console.log(cell.describeNodes())
  const { tags, violations } = await readRuns()
  const runs = (id: string): number => tags.get(id) ?? 0
  const counts = load.counts()
  console.log(JSON.stringify({ requests: load.results.length, ...counts, silenced, servedInOutage }))
  expect({
    lost: load.results.filter(answer => answer.outcome === 'run' && runs(answer.id) === 0),
    doubled: load.results.filter(answer => !answer.idempotent && runs(answer.id) > 1),
    misdelivered: load.results.filter(answer => !answer.isBodyCorrect),
    falseNotRun: load.results.filter(answer => answer.outcome === 'not-run' && runs(answer.id) > 0),
    violations,
    endedByItself
  }).toEqual({ lost: [], doubled: [], misdelivered: [], falseNotRun: [], violations: [], endedByItself: [] })
  expect(silenced > 0).toEqual(true)
  expect(counts.run >= MIN_RUNS).toEqual(true)
  const recoverySince = Date.now()
  for (const front of runningFronts()) {
    while ((await fetch(`${front}/after`)).status !== 200) {
      if (Date.now() - recoverySince > RECOVERY_LIMIT_MS) throw new Error(`${front} does not serve again\n${cell.describeNodes()}`)
      await sleep(100)
    }
  }
  if (Date.now() - recoverySince > SLOW_RECOVERY_MS) console.log(`the nodes served again only after ${Date.now() - recoverySince} ms\n${cell.describeNodes()}`)
})
