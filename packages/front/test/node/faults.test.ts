import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import type { Address } from '@rattanstep/core'
import { request } from 'undici'
import { closedAddress, FakeWorker, RawWorker, sampleRules, startFront } from './startFront.js'

/** A worker that fails its first run in one way and answers the others. */
interface Fault {
  name: string
  /** What the first run does; `null` for a worker that takes no connection. */
  firstRun: ((socket: Socket) => void) | null
  /** Whether bytes may have reached the endpoint. */
  mayHaveArrived: boolean
  /** What a caller whose request may run once only gets: a status, or `cut` after the head. */
  once: number | 'cut'
  /** The same for a request that may be repeated. */
  repeated: number | 'cut'
}

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'

const FAULTS: Fault[] = [
  { name: 'takes no connection', firstRun: null, mayHaveArrived: false, once: 200, repeated: 200 },
  { name: 'resets before the head', firstRun: socket => { socket.resetAndDestroy() }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'closes before the head', firstRun: socket => { socket.end() }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'resets within the head', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ncont', () => { socket.resetAndDestroy() }) }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'sends garbage', firstRun: socket => { socket.end('no HTTP at all\r\n\r\n') }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'sends a head that may not be passed on', firstRun: socket => { socket.write('HTTP/1.1 200 O\x01K\r\ncontent-length: 0\r\n\r\n') }, mayHaveArrived: true, once: 502, repeated: 200 },
  { name: 'hangs', firstRun: () => {}, mayHaveArrived: true, once: 504, repeated: 200 },
  { name: 'cuts a sized body', firstRun: socket => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'cuts a chunked body', firstRun: socket => { socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'resets a chunked body', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', () => { socket.resetAndDestroy() }) }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'falls silent in the body', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' },
  { name: 'sends garbage in the body', firstRun: socket => { socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n') }, mayHaveArrived: true, once: 'cut', repeated: 'cut' }
]

const KINDS = [
  { name: 'a POST without a repeat rule', path: '/once', method: 'POST' as const, repeatable: false, body: 'small' },
  { name: 'a POST that the rule lets repeat', path: '/safe/x', method: 'POST' as const, repeatable: true, body: 'small' },
  { name: 'a GET', path: '/get', method: 'GET' as const, repeatable: true, body: null },
  { name: 'a streamed POST that the rule lets repeat', path: '/safe/streamed', method: 'POST' as const, repeatable: false, body: async function * () { yield 'small' } }
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
    test(`${kind.name} whose worker ${fault.name} is run once at most where it must be, and its caller is told the truth`, async () => {
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

test('when no worker takes a connection, nothing was run and the caller is told so', async () => {
  const fixture = await startFront([await closedAddress(), await closedAddress()])
  const seen = await attempt(fixture.url, KINDS[0]!)
  expect([seen.status, seen.outcome]).toEqual([503, 'not-run'])
  expect(fixture.permits.endings).toEqual(['failed', 'failed'])
  await fixture.close()
})

test('a repeat that finds no room does not hide that the first attempt may have run', async () => {
  const worker = await RawWorker.start(socket => { socket.resetAndDestroy() })
  const fixture = await startFront([worker.address, await closedAddress()])
  const seen = await attempt(fixture.url, KINDS[2]!)
  expect([seen.status, seen.outcome, worker.runs]).toEqual([502, 'unknown', 1])
  await fixture.close()
  worker.close()
})

test('the time of an attempt that failed does not count as waiting for room', async () => {
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

test('a permit that is too old when the first byte would leave is not used', async () => {
  const worker = await FakeWorker.start((_: IncomingMessage, response: ServerResponse) => { response.end() })
  const fixture = await startFront([worker.address])
  fixture.permits.validity = -1
  const seen = await attempt(fixture.url, KINDS[0]!)
  expect([seen.status, seen.outcome, worker.runs.size]).toEqual([503, 'not-run', 0])
  expect(new Set(fixture.permits.endings)).toEqual(new Set(['unsent']))
  await fixture.close()
  worker.close()
})
