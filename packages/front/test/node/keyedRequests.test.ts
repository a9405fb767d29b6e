import { test } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { EMPTY_ASSIGNMENT, KEY_SHARDS, Network, shardResource, SystemClock } from '@rattanstep/core'
import type { Incarnation, Message } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { KeyClient, KeyHome } from '../../src/index.js'
import { FakeWorker, RawWorker, sampleRules, startFront } from './startFront.js'
import type { FrontFixture } from './startFront.js'

class LocalNetwork extends Network {
  constructor (private readonly self: Incarnation, private readonly receivers: Map<Incarnation, (from: Incarnation, message: Message) => void>) {
    super()
  }

  override addPeer (): void {}
  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    setImmediate(() => { this.receivers.get(to)?.(this.self, message) })
  }
}

/** Starts two fronts, `A` and `B`. `B` is the home of every key. With `dropMessages` no message between them arrives. */
async function startTwoFronts (worker: FakeWorker | RawWorker, changes: { dropMessages?: boolean } = {}): Promise<{ fronts: FrontFixture[], close: () => Promise<void> }> {
  const receivers = new Map<Incarnation, (from: Incarnation, message: Message) => void>()
  const owners = Object.fromEntries(Array.from({ length: KEY_SHARDS }, (_, shard) => [shardResource(shard), 'B']))
  const fronts: FrontFixture[] = []
  const stops: Array<() => void> = []
  for (const self of ['A', 'B']) {
    const shared = { self, network: new LocalNetwork(self, receivers), clock: new SystemClock(), log: new MemoryLog(), metrics: new Metrics() }
    const keys = new KeyClient({ ...shared, ownerOf: resource => owners[resource]!, verdictTimeout: 300 })
    const home = new KeyHome({ ...shared, mayAdmit: resource => owners[resource] === self })
    home.assignmentChanged({ ...EMPTY_ASSIGNMENT, version: 1, owners }, EMPTY_ASSIGNMENT)
    if (changes.dropMessages !== true) receivers.set(self, (from, message) => home.receive(from, message) || keys.receive(from, message))
    fronts.push(await startFront([worker.address], { keys, nodeId: self, rules: () => sampleRules({}, 800) }))
    stops.push(() => { keys.stop(); home.stop() })
  }
  return {
    fronts,
    close: async () => {
      for (const stop of stops) stop()
      for (const front of fronts) await front.close()
      worker.close()
    }
  }
}

interface Answer { status: number, outcome: unknown, text: string, id: unknown }

async function call (front: FrontFixture, key: string, changes: { body?: string, headers?: Record<string, string> } = {}): Promise<Answer> {
  const answer = await request(`${front.url}/once`, { method: 'POST', body: changes.body ?? 'stamp', headers: { 'idempotency-key': key, ...changes.headers } })
  return { status: answer.statusCode, outcome: answer.headers['rattanstep-outcome'], text: await answer.body.text(), id: answer.headers['rattanstep-request'] }
}

test('a repeat at another node gets the answer of the first run, and the request runs only once', async () => {
  const worker = await FakeWorker.start((_, response) => { response.writeHead(201, { 'x-stamp': '7' }).end('stamped') })
  const { fronts, close } = await startTwoFronts(worker)
  const first = await call(fronts[0]!, 'k1')
  const second = await call(fronts[1]!, 'k1')
  expect([first.status, first.outcome, first.text]).toEqual([201, 'run', 'stamped'])
  expect([second.status, second.outcome, second.text]).toEqual([201, 'run', 'stamped'])
  expect(worker.runs.get('/once')).toEqual(1)
  expect((await call(fronts[0]!, 'k1', { body: 'other' })).status).toEqual(422)
  const otherCaller = await call(fronts[0]!, 'k1', { headers: { authorization: 'Bearer other' } })
  expect([otherCaller.status, otherCaller.outcome, otherCaller.text.includes('stamped')]).toEqual([409, 'run', false])
  expect(worker.runs.get('/once')).toEqual(1)
  await close()
})

test('of repeats that are sent to both nodes at the same time one runs, and the others are answered with 409 while it runs', async () => {
  const worker = await FakeWorker.start((_, response) => { setTimeout(() => { response.end('slow') }, 750) })
  const { fronts, close } = await startTwoFronts(worker)
  const answers = await Promise.all([0, 1, 0, 1].map(async index => await call(fronts[index]!, 'k1')))
  expect(answers.map(answer => `${answer.status} ${String(answer.outcome)}`).sort()).toEqual(['200 run', '409 unknown', '409 unknown', '409 unknown'])
  expect(worker.runs.get('/once')).toEqual(1)
  await close()
})

test('a request that was not run frees its key, and a request whose outcome is unknown keeps it', async () => {
  const worker = await RawWorker.start((socket, run) => {
    if (run === 0) socket.resetAndDestroy()
    else socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
  })
  const { fronts, close } = await startTwoFronts(worker)
  fronts[0]!.permits.validity = -1
  expect([(await call(fronts[0]!, 'k1')).outcome, worker.runs]).toEqual(['not-run', 0])
  fronts[0]!.permits.validity = 60_000
  const unknown = await call(fronts[0]!, 'k1')
  expect([unknown.status, unknown.outcome, worker.runs]).toEqual([502, 'unknown', 1])
  const repeated = await call(fronts[1]!, 'k1')
  expect([repeated.status, repeated.outcome, worker.runs]).toEqual([502, 'unknown', 1])
  await close()
})

test('a request whose answer is too large to be stored is not run again', async () => {
  const worker = await FakeWorker.start((_, response) => { response.end('x'.repeat(100_000)) })
  const { fronts, close } = await startTwoFronts(worker)
  expect((await call(fronts[0]!, 'k1')).text.length).toEqual(100_000)
  const repeated = await call(fronts[0]!, 'k1')
  expect([repeated.status, repeated.outcome, worker.runs.get('/once')]).toEqual([409, 'run', 1])
  await close()
})

test('a request without a verdict, or with a time of first sending in the future, is not run', async () => {
  const worker = await FakeWorker.start((_, response) => { response.end() })
  const { fronts, close } = await startTwoFronts(worker, { dropMessages: true })
  expect([(await call(fronts[0]!, 'k1')).status, (await call(fronts[0]!, 'k2', { headers: { 'rattanstep-first-sent': String(Date.now() + 3_600_000) } })).status]).toEqual([503, 400])
  expect(worker.runs.size).toEqual(0)
  await close()
})
