import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import type { Address } from '@rattanstep/core'
import { request } from 'undici'
import { closedAddress, FakeWorker, RawWorker, sampleRules, startFront } from './startFront.js'

/** A fault of the worker of the first run; all later runs are answered. */
interface Fault {
  name: string
  /** What the worker does in the first run; `null` for a worker that accepts no connection. */
  firstRun: ((socket: Socket) => void) | null
  /** Whether bytes may have reached the endpoint. */
  mayHaveArrived: boolean
  /** Expected status of a request that must run at most once, or `cut` when the answer is cut off after its head. */
  once: number | 'cut'
  /** The same for a request that may be repeated. */
  repeated: number | 'cut'
}

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'

const FAULTS: Fault[] = [
  { name: 'accepts no connection', firstRun: null, mayHaveArrived: false, once: 200, repeated: 200 },
  { name: 'resets the connection before the head', firstRun: socket => { socket.resetAndDestroy() }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'closes the connection before the head', firstRun: socket => { socket.end() }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'resets the connection within the head', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ncont', () => { socket.resetAndDestroy() }) }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'sends bytes that are not HTTP', firstRun: socket => { socket.end('no HTTP at all\r\n\r\n') }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'sends a head with a forbidden byte', firstRun: socket => { socket.write('HTTP/1.1 200 O\x01K\r\ncontent-length: 0\r\n\r\n') }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'never answers', firstRun: () => {}, mayHaveArrived: true, once: 504, repeated: 200 },
  { name: 'ends the connection within a sized body', firstRun: socket => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'ends the connection within a chunked body', firstRun: socket => { socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'resets the connection within a chunked body', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', () => { socket.resetAndDestroy() }) }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'falls silent within the body', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'sends an invalid chunk in the body', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' }
]

const KINDS = [
  { name: 'a POST that the rules do not call idempotent', path: '/once', method: 'POST' as const, repeatable: false, body: 'small' },
  { name: 'a POST that the rules call idempotent', path: '/safe/x', method: 'POST' as const, repeatable: true, body: 'small' },
  { name: 'a GET', path: '/get', method: 'GET' as const, repeatable: true, body: null },
  { name: 'a streamed POST that the rules call idempotent', path: '/safe/streamed', method: 'POST' as const, repeatable: false, body: async function * () { yield 'small' } }
]

async function attempt (url: string, kind: typeof KINDS[number]): Promise<{ status: number | 'cut', outcome: unknown, body: string }> {
  const body = typeof kind.body === 'function' ? kind.body() : kind.body
  const answer = await request(`${url}${kind.path}`, { method: kind.method, body: body as never })
  const outcome = answer.headers['rattanstep-outcome']
  try {
    return { status: answer.statusCode, outcome, body: await answer.body.text() }
  } catch {
    return { status: 'cut', outcome, body: '' }
  }
}

for (const fault of FAULTS) {
  for (const kind of KINDS) {
    test(`${kind.name} runs at most once unless it may be repeated, and its caller gets the true outcome, when the worker ${fault.name}`, async () => {
      let runs = 0
      const answer = (socket: Socket): void => {
        runs++
        if (runs === 1 && fault.firstRun !== null) fault.firstRun(socket)
        else socket.write(WHOLE)
      }
      const workers = await Promise.all([RawWorker.start(answer), RawWorker.start(answer)])
      const addresses: Address[] = workers.map(worker => worker.address)
      if (fault.firstRun === null) addresses[0] = await closedAddress()
      const fixture = await startFront(addresses, { rules: () => sampleRules({}, 1200) })
      const seen = await attempt(fixture.url, kind)
      const expected = kind.repeatable ? fault.repeated : fault.once
      expect(seen.status).toEqual(expected)
      if (expected === 200) expect([seen.outcome, seen.body]).toEqual(['run', 'whole'])
      else expect(seen.outcome).toEqual(expected === 'cut' ? 'run' : 'unknown')
      expect(runs).toEqual(fault.mayHaveArrived && expected === 200 ? 2 : 1)
      if (seen.outcome === 'not-run') expect(runs).toEqual(0)
      expect(fixture.permits.held.size).toEqual(0)
      const next = await attempt(fixture.url, { ...KINDS[2]!, path: '/after' })
      expect([next.status, next.body]).toEqual([200, 'whole'])
      await fixture.close()
      for (const worker of workers) worker.close()
    })
  }
}

test('when no worker accepts a connection, the caller gets the outcome not-run', async () => {
  const fixture = await startFront([await closedAddress(), await closedAddress()])
  const seen = await attempt(fixture.url, KINDS[0]!)
  expect([seen.status, seen.outcome]).toEqual([503, 'not-run'])
  expect(fixture.permits.endings).toEqual(['failed', 'failed'])
  await fixture.close()
})

test('when the second attempt gets no permit, the outcome is unknown because the first attempt may have run', async () => {
  const worker = await RawWorker.start(socket => { socket.resetAndDestroy() })
  const fixture = await startFront([worker.address, await closedAddress()])
  const seen = await attempt(fixture.url, KINDS[2]!)
  expect([seen.status, seen.outcome, worker.runs]).toEqual([502, 'unknown', 1])
  await fixture.close()
  worker.close()
})

test('the duration of a failed attempt does not count as time spent waiting for a permit', async () => {
  const worker = await RawWorker.start((socket, run) => { if (run > 0) socket.write(WHOLE) })
  const other = await RawWorker.start((socket, run) => { if (run > 0 || worker.runs > 0) socket.write(WHOLE) })
  const fixture = await startFront([worker.address, other.address], { rules: () => sampleRules({}, 3000) })
  expect((await attempt(fixture.url, KINDS[2]!)).status).toEqual(200)
  const asks = fixture.permits.asks.map(({ patience, waited }) => ({ patience, waited }))
  expect(asks.map(ask => ask.patience > 900 && ask.waited < 100)).toEqual([true, true])
  await fixture.close()
  worker.close()
  other.close()
})

test('a permit that has expired before the first byte is sent is not used', async () => {
  const worker = await FakeWorker.start((_: IncomingMessage, response: ServerResponse) => { response.end() })
  const fixture = await startFront([worker.address])
  fixture.permits.validity = -1
  const seen = await attempt(fixture.url, KINDS[0]!)
  expect([seen.status, seen.outcome, worker.runs.size]).toEqual([503, 'not-run', 0])
  expect(new Set(fixture.permits.endings)).toEqual(new Set(['unsent']))
  await fixture.close()
  worker.close()
})
