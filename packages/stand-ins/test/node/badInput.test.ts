import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { FakeClock } from '@rattanstep/core'
import type { Address, Instance } from '@rattanstep/core'
import { formatHost, HttpInstanceList, HttpObjectStore, HttpTable, HttpWorkers } from '@rattanstep/platform'
import { PlatformServer, WorkerServer } from '../../src/index.js'

const clock = new FakeClock()
const LOCAL = { host: '127.0.0.1', port: 0 }
const SEED = 20_261
const RUNS = 150

const WORKER: Instance = { id: 'w1', role: 'worker', state: 'live', dataCentre: 'a', rack: 'r1', address: LOCAL, resources: { slots: 1, cores: 1, memory: 1, accelerators: 0 }, connections: 9 }

const TABLE_PATHS = ['/table/read', '/table/list', '/table/commit', '/instances/list', '/instances/register', '/instances/leave', '/instances/remove', '/faults', '/objects/%zz', '/objects/a', '/nothing']
const WORKER_PATHS = ['start', 'renew', 'stop', 'checkpoint', 'throttle', 'report', 'log', 'nothing'].map(name => `/rattanstep/${name}`)

async function post (address: Address, path: string, body: string): Promise<number> {
  const answer = await fetch(`http://${formatHost(address)}${path}`, { method: 'POST', body })
  await answer.arrayBuffer()
  return answer.status
}

const bodies = fc.oneof(
  fc.json(),
  fc.string(),
  fc.record({ task: fc.jsonValue(), fence: fc.jsonValue(), keys: fc.jsonValue(), prefix: fc.jsonValue(), checks: fc.jsonValue(), writes: fc.jsonValue(), id: fc.jsonValue() }).map(content => JSON.stringify(content))
)

const SERVERS: Array<{ title: string, paths: string[], open: () => Promise<{ address: Address, close: () => Promise<void> }> }> = [
  {
    title: 'the platform',
    paths: TABLE_PATHS,
    open: async () => {
      const server = new PlatformServer({ clock })
      return { address: await server.listen(LOCAL), close: async () => { await server.close() } }
    }
  },
  {
    title: 'a worker',
    paths: WORKER_PATHS,
    open: async () => {
      const server = new WorkerServer({ instance: WORKER, clock })
      return { address: await server.listen(LOCAL), close: async () => { await server.close() } }
    }
  }
]

for (const { title, paths, open } of SERVERS) {
  test(`${title} answers any body and continues to serve`, async () => {
    const { address, close } = await open()
    await fc.assert(fc.asyncProperty(fc.constantFrom(...paths), bodies, async (path, body) => {
      const status = await post(address, path, body)
      expect([200, 400, 404, 409].includes(status)).toEqual(true)
    }), { seed: SEED, numRuns: RUNS })
    await close()
  })
}

/** Answers of a service that does not follow the protocol: any status, any body. */
const answers = fc.record({
  status: fc.constantFrom(200, 200, 200, 204, 301, 400, 404, 409, 500, 503),
  body: fc.oneof(fc.json(), fc.string(), fc.record({ rows: fc.jsonValue(), instances: fc.jsonValue(), missing: fc.jsonValue(), fault: fc.jsonValue(), worker: fc.jsonValue() }).map(content => JSON.stringify(content)))
})

test('adapters return a fault and never throw, whatever the service answers', async () => {
  let next = { status: 200, body: '' }
  const server = createServer((request, response) => {
    request.resume()
    response.writeHead(next.status).end(next.status === 204 ? undefined : next.body)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  const worker = { ...WORKER, address }
  const [table, objects, list, workers] = [new HttpTable({ address }), new HttpObjectStore({ address }), new HttpInstanceList({ address }), new HttpWorkers()]
  await fc.assert(fc.asyncProperty(answers, async answer => {
    next = answer
    const results = [
      await table.read(['a']), await table.list({ prefix: '' }), await table.commit({ operation: 'o', checks: [], writes: [] }),
      await objects.get('a'), await objects.put('a', new Uint8Array()), await list.list(),
      await workers.report(worker), await workers.renew(worker, []), await workers.stop(worker, [])
    ]
    for (const result of results) expect(result.isOk() || result.error.message.length >= 0).toEqual(true)
    const rows = results[0]!
    if (rows.isOk()) expect((rows.value as unknown[]).every(row => typeof (row as { version: unknown }).version === 'number')).toEqual(true)
    const committed = results[2]!
    if (answer.status === 200 && committed.isErr()) expect(committed.error.fault).toEqual('unknown')
  }), { seed: SEED, numRuns: RUNS })
  await Promise.all([table.close(), objects.close(), list.close(), workers.close()])
  server.close()
  server.closeAllConnections()
})
