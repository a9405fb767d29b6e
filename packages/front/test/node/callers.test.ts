import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { request } from 'undici'
import type { Address } from '@rattanstep/core'
import { FakeWorker, RawWorker, sampleRules, startFront } from './startFront.js'

const SEED = Number(process.env['RATTANSTEP_SEED'] ?? 20_261_204)

/** Polls until a condition holds. There is no time limit: the test runner ends a test that waits forever. */
async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5)
}

/** Sends bytes and returns everything that is received until the connection closes. */
async function sendBytes (address: Address, bytes: string | Uint8Array, end = true): Promise<string> {
  const socket = connect(address)
  const chunks: Buffer[] = []
  socket.on('data', chunk => { chunks.push(chunk) })
  socket.on('error', () => {})
  socket.write(bytes)
  if (end) socket.end()
  await new Promise<void>(resolve => { socket.on('close', () => { resolve() }) })
  return Buffer.concat(chunks).toString('latin1')
}

test('when a caller disconnects while it waits for an answer, the run ends and its permit is given back', async () => {
  let ended = false
  const worker = await FakeWorker.start(incoming => { incoming.socket.on('close', () => { ended = true }) })
  const fixture = await startFront([worker.address])
  const abortController = new AbortController()
  const call = request(`${fixture.url}/x`, { method: 'POST', body: 'x', signal: abortController.signal }).catch(() => 'left')
  await waitUntil(() => worker.runs.size === 1)
  abortController.abort()
  expect(await call).toEqual('left')
  await waitUntil(() => fixture.permits.held.size === 0 && ended && fixture.front.inFlight === 0)
  expect(fixture.permits.endings).toEqual(['cancelled'])
  await fixture.close()
  worker.close()
})

test('a caller that stops reading is disconnected after the idle time and its permit is given back', async () => {
  const worker = await FakeWorker.start((_, response) => { response.end(Buffer.alloc(30_000_000)) })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({ idleTimeout: 150 }, 20_000) })
  const socket = connect(fixture.address)
  socket.on('error', () => {})
  socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n')
  socket.pause()
  await waitUntil(() => fixture.permits.endings.length === 1)
  expect(fixture.permits.endings).toEqual(['cancelled'])
  socket.destroy()
  await fixture.close()
  worker.close()
})

test('a request whose small body arrives too slowly is answered with 408 and asks for no permit', async () => {
  const fixture = await startFront([], { rules: () => sampleRules({ idleTimeout: 100 }) })
  const answer = await sendBytes(fixture.address, 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\nconnection: close\r\n\r\nhalf', false)
  expect(answer).toMatchRegex(/^HTTP\/1.1 408 /)
  expect(answer).toMatchRegex(/rattanstep-outcome: not-run/)
  expect(fixture.permits.asks).toEqual([])
  await fixture.close()
})

test('a chunked body that exceeds the limit while it is streamed ends the run with the outcome unknown', async () => {
  let broken = false
  const worker = await FakeWorker.start(incoming => {
    incoming.on('error', () => { broken = true })
    incoming.resume()
  })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({ body: 200_000 }) })
  const body = (async function * () { for (let part = 0; part < 40; part++) yield Buffer.alloc(10_000) })()
  const answer = await request(`${fixture.url}/x`, { method: 'POST', body: body as never })
  expect([answer.statusCode, answer.headers['rattanstep-outcome']]).toEqual([502, 'unknown'])
  await waitUntil(() => broken)
  expect(fixture.permits.endings).toEqual(['cancelled'])
  await fixture.close()
  worker.close()
})

const MALFORMED = [
  { name: 'a message that is not HTTP', bytes: 'what is this\r\n\r\n', status: 400 },
  { name: 'a request without a Host field', bytes: 'GET / HTTP/1.1\r\nconnection: close\r\n\r\n', status: 400 },
  { name: 'an invalid chunk in a body that is being streamed', bytes: 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n', status: 502 },
  { name: 'a request with both Content-Length and Transfer-Encoding', bytes: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', status: 400 },
  { name: 'a header that is too large', bytes: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(9000)}\r\n\r\n`, status: 431 },
  { name: 'a CONNECT request', bytes: 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n', status: 405 },
  { name: 'an unknown expectation', bytes: 'GET / HTTP/1.1\r\nhost: a\r\nexpect: the-best\r\n\r\n', status: 417 },
  { name: 'a request target that is not a path', bytes: 'OPTIONS * HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', status: 400 },
  { name: 'an invalid rattanstep-timeout', bytes: 'GET / HTTP/1.1\r\nhost: a\r\nrattanstep-timeout: soon\r\nconnection: close\r\n\r\n', status: 400 },
  { name: 'a request with two Host fields', bytes: 'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\nconnection: close\r\n\r\n', status: 400 }
]

for (const { name, bytes, status } of MALFORMED) {
  test(`${name} is answered with ${status} and the front serves the next request`, async () => {
    const worker = await FakeWorker.start((incoming, response) => { incoming.on('end', () => { response.end('ok') }).resume() })
    const fixture = await startFront([worker.address])
    const answer = await sendBytes(fixture.address, bytes, false)
    expect(answer.split('\r\n')[0]!.split(' ')[1]).toEqual(String(status))
    expect(answer).toMatchRegex(status < 500 ? /rattanstep-outcome: not-run/ : /rattanstep-outcome: unknown/)
    expect((await request(`${fixture.url}/next`)).statusCode).toEqual(200)
    await waitUntil(() => fixture.permits.held.size === 0)
    await fixture.close()
    worker.close()
  })
}

test('a caller that never completes its header is answered with 408', async () => {
  const fixture = await startFront([], { rules: () => sampleRules({ headerTimeout: 100 }) })
  const answer = await sendBytes(fixture.address, 'GET / HTTP/1.1\r\nx: ', false)
  expect(answer).toMatchRegex(/^HTTP\/1.1 408 /)
  await fixture.close()
})

test('invalid bytes after a request that is running do not affect its answer', async () => {
  const worker = await FakeWorker.start((_, response) => { setTimeout(() => { response.end('mine') }, 100) })
  const fixture = await startFront([worker.address])
  const answer = await sendBytes(fixture.address, 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n\x00\x01garbage\r\n\r\n', false)
  expect(answer).toMatchRegex(/^HTTP\/1.1 200 OK(.|\r\n)*mine/)
  expect(answer.match(/rattanstep-outcome: run/g)?.length).toEqual(1)
  await fixture.close()
  worker.close()
})

test('after arbitrary bytes from callers the front serves the next request and holds no permit', async () => {
  const worker = await FakeWorker.start((incoming, response) => { incoming.on('end', () => { response.end('ok') }).resume() })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({ headerTimeout: 200, idleTimeout: 200 }, 500) })
  const piece = fc.oneof(
    fc.constantFrom('GET / HTTP/1.1\r\n', 'POST /x HTTP/1.1\r\n', 'host: a\r\n', 'content-length: 5\r\n', 'transfer-encoding: chunked\r\n', '\r\n', '5\r\nhello\r\n', '0\r\n\r\n', 'idempotency-key: k\r\n', 'expect: 100-continue\r\n', 'connection: close\r\n', 'HTTP/1.0\r\n', 'content-length: -1\r\n', 'rattanstep-timeout: 1\r\n'),
    fc.string({ unit: 'binary', maxLength: 30 }),
    fc.uint8Array({ maxLength: 30 }).map(bytes => Buffer.from(bytes).toString('latin1'))
  )
  await fc.assert(fc.asyncProperty(fc.array(piece, { maxLength: 12 }), async pieces => {
    const answer = await sendBytes(fixture.address, Buffer.from(pieces.join(''), 'latin1'))
    const heads = answer.match(/HTTP\/1\.1 [2-5]\d\d /g)?.length ?? 0
    const outcomes = answer.match(/rattanstep-outcome: (run|not-run|unknown)\r\n/g)?.length ?? 0
    expect(outcomes).toEqual(heads)
    const next = await request(`${fixture.url}/next`)
    expect([next.statusCode, await next.body.text()]).toEqual([200, 'ok'])
  }), { seed: SEED, numRuns: 300 })
  await waitUntil(() => fixture.permits.held.size === 0 && fixture.front.inFlight === 0)
  expect(fixture.log.lines.filter(line => line.event.level === 'error')).toEqual([])
  await fixture.close()
  worker.close()
})

test('under load, with workers that fail at random, every caller gets exactly the answer to its own request', async () => {
  const random = fc.sample(fc.integer({ min: 0, max: 99 }), { numRuns: 4000, seed: SEED })
  let next = 0
  const answer = (incoming: IncomingMessage, response: ServerResponse): void => {
    const roll = random[next++ % random.length]!
    const chunks: Buffer[] = []
    incoming.on('error', () => {})
    incoming.on('data', chunk => { chunks.push(chunk as Buffer) })
    incoming.on('end', () => {
      const body = Buffer.concat([Buffer.from(incoming.url!), ...chunks])
      if (roll < 4) incoming.socket.destroy()
      else if (roll < 8) response.write(body.subarray(0, 3), () => { incoming.socket.resetAndDestroy() })
      else setTimeout(() => { response.end(body) }, roll % 12)
    })
  }
  const workers = await Promise.all([1, 2, 3].map(async () => await FakeWorker.start(answer)))
  const fixture = await startFront(workers.map(worker => worker.address), { connections: { connectionsFor: () => 30, connectionWait: 2000 } })
  const counts: Record<string, number> = {}
  const call = async (number: number): Promise<void> => {
    const path = `/${number % 2 === 0 ? 'once' : 'safe'}/${number}`
    const body = number % 3 === 0 ? `body ${number} `.repeat(number % 400) : (async function * () { for (let part = 0; part < 3; part++) yield `part ${part} of ${number};` })()
    const expected = path + (typeof body === 'string' ? body : [0, 1, 2].map(part => `part ${part} of ${number};`).join(''))
    const answered = await request(`${fixture.url}${path}`, { method: 'POST', body: body as never })
    const text = await answered.body.text().catch(() => null)
    const outcome = String(answered.headers['rattanstep-outcome'])
    const kind = text === null ? 'cut' : outcome
    counts[kind] = (counts[kind] ?? 0) + 1
    const runs = workers.reduce((sum, worker) => sum + (worker.runs.get(path) ?? 0), 0)
    if (kind === 'run') expect(text).toEqual(expected)
    if (kind === 'not-run') expect(runs).toEqual(0)
    if (path.startsWith('/once')) expect(runs).toBeLessThanOrEqual(1)
  }
  const queue = Array.from({ length: 1500 }, (_, number) => number)
  await Promise.all(Array.from({ length: 60 }, async () => {
    for (let number = queue.shift(); number !== undefined; number = queue.shift()) await call(number)
  }))
  expect(counts['run']!).toBeGreaterThan(1200)
  expect(counts['cut']!).toBeGreaterThan(0)
  expect(counts['unknown']!).toBeGreaterThan(0)
  await waitUntil(() => fixture.permits.held.size === 0)
  await fixture.close()
  for (const worker of workers) worker.close()
})

test('a late answer on an abandoned connection reaches no caller, and the connection is not used again', async () => {
  const sockets: Socket[] = []
  const worker = await RawWorker.start((socket, run) => {
    if (!sockets.includes(socket)) sockets.push(socket)
    if (run > 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine')
    else setTimeout(() => { if (socket.writable) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate') }, 400)
  })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({}, 200) })
  const first = await request(`${fixture.url}/once`, { method: 'POST', body: 'x' })
  expect([first.statusCode, first.headers['rattanstep-outcome']]).toEqual([504, 'unknown'])
  for (let call = 0; call < 5; call++) {
    const answer = await request(`${fixture.url}/once`, { method: 'POST', body: 'x' })
    expect(await answer.body.text()).toEqual('mine')
    await sleep(100)
  }
  expect(sockets[0]!.destroyed).toEqual(true)
  await fixture.close()
  worker.close()
})
