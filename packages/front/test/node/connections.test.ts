import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import type { Address } from '@rattanstep/core'
import { FakeWorker, RawWorker, sampleRules, startFront } from './startFront.js'

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5)
}

/** Sends bytes and returns the received text, and the code of the socket error if any, once the connection has closed. */
async function sendBytes (address: Address, bytes: string): Promise<{ text: string, error: string }> {
  const socket = connect(address)
  let text = ''
  let error = ''
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  socket.on('error', (failure: Error & { code?: string }) => { error = failure.code ?? '' })
  socket.write(bytes)
  await new Promise<void>(resolve => { socket.on('close', () => { resolve() }) })
  return { text, error }
}

test('the number of connections to a worker stays within its limit, and requests wait for a free connection', async () => {
  let open = 0
  let most = 0
  const worker = await FakeWorker.start((_, response) => { setTimeout(() => { response.end('ok') }, 20) })
  worker.onConnection(socket => {
    most = Math.max(most, ++open)
    socket.on('close', () => { open-- })
  })
  const fixture = await startFront([worker.address], { connections: { connectionsFor: () => 3, connectionWait: 3000 } })
  const answers = await Promise.all(Array.from({ length: 20 }, async () => await request(`${fixture.url}/once`, { method: 'POST', body: 'x' })))
  expect(answers.map(answer => answer.statusCode)).toEqual(Array.from({ length: 20 }, () => 200))
  expect(most).toEqual(3)
  await fixture.close()
  worker.close()
})

test('a request that gets no connection in time is answered with 503 and is not run', async () => {
  const worker = await FakeWorker.start(() => {})
  const fixture = await startFront([worker.address], { rules: () => sampleRules({}, 600), connections: { connectionsFor: () => 1, connectionWait: 50 } })
  const first = request(`${fixture.url}/hangs`, { method: 'POST' })
  await waitUntil(() => worker.runs.size === 1)
  const second = await request(`${fixture.url}/second`, { method: 'POST' })
  expect([second.statusCode, second.headers['rattanstep-outcome']]).toEqual([503, 'not-run'])
  expect((await first).statusCode).toEqual(504)
  expect([...worker.runs.keys()]).toEqual(['/hangs'])
  await fixture.close()
  worker.close()
})

test('a connection without recent activity is not used for a request that must run at most once', async () => {
  const used: Socket[] = []
  const worker = await RawWorker.start((socket, run) => {
    used.push(socket)
    // After its first answer the first connection falls silent, as when a middlebox has lost its state.
    if (run === 0 || socket !== used[0]) socket.write(WHOLE)
  })
  const fixture = await startFront([worker.address], { connections: { freshness: 50 } })
  await request(`${fixture.url}/once`, { method: 'POST', body: 'x' })
  await sleep(120)
  const answer = await request(`${fixture.url}/once`, { method: 'POST', body: 'x' })
  expect([answer.statusCode, answer.headers['rattanstep-outcome']]).toEqual([200, 'run'])
  expect(used[1]).not.toEqual(used[0])
  await fixture.close()
  worker.close()
})

test('after one connection has fallen silent, connections that were idle meanwhile are not used again', async () => {
  let silent = false
  const before = new Set<Socket>()
  const after = new Set<Socket>()
  const worker = await RawWorker.start(socket => {
    if (silent) return
    if (before.size < 3) before.add(socket)
    else after.add(socket)
    setTimeout(() => { socket.write(WHOLE) }, 20)
  })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({}, 1500) })
  await Promise.all([1, 2, 3].map(async () => await (await request(`${fixture.url}/get`)).body.text()))
  silent = true
  const lost = await request(`${fixture.url}/get`)
  expect([lost.statusCode, lost.headers['rattanstep-outcome']]).toEqual([502, 'unknown'])
  silent = false
  expect((await request(`${fixture.url}/get`)).statusCode).toEqual(200)
  expect([before.size, [...after].filter(socket => before.has(socket)).length]).toEqual([3, 0])
  expect(fixture.log.lines.filter(line => line.event.name === 'connection-silent').length).toEqual(1)
  await fixture.close()
  worker.close()
})

test('while one connection is silent, other connections to the same worker stay in use', async () => {
  const worker = await RawWorker.start((socket, run) => { if (run > 0) socket.write(WHOLE) })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({}, 1000) })
  const silent = request(`${fixture.url}/once`, { method: 'POST', body: 'x' })
  await waitUntil(() => worker.runs === 1)
  for (let call = 0; call < 20; call++) expect((await request(`${fixture.url}/once`, { method: 'POST', body: 'x' })).statusCode).toEqual(200)
  expect((await silent).statusCode).toEqual(504)
  await fixture.close()
  worker.close()
})

test('an answer that is delimited by the end of its connection closes the caller\'s connection, and a reset within it resets that connection', async () => {
  const worker = await RawWorker.start((socket, run) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nbody', () => {
      if (run === 0) socket.end()
      else setTimeout(() => { socket.resetAndDestroy() }, 50)
    })
  })
  const fixture = await startFront([worker.address])
  const whole = await sendBytes(fixture.address, 'GET /get HTTP/1.1\r\nhost: a\r\n\r\n')
  expect([whole.error, whole.text.endsWith('\r\n\r\nbody'), /content-length|transfer-encoding/i.test(whole.text)]).toEqual(['', true, false])
  const cut = await sendBytes(fixture.address, 'GET /get HTTP/1.1\r\nhost: a\r\n\r\n')
  expect(cut.error).toEqual('ECONNRESET')
  await fixture.close()
  worker.close()
})

const PASSED = [
  { name: 'an answer to HEAD keeps its Content-Length and has no body', bytes: 'HEAD /x HTTP/1.1\r\n', answer: 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n', expected: /content-length: 9\r\n(.*\r\n)*\r\n$/ },
  { name: 'a 304 answer has no body', bytes: 'GET /x HTTP/1.1\r\n', answer: 'HTTP/1.1 304 Not Modified\r\netag: "a"\r\n\r\n', expected: /^HTTP\/1.1 304 Not Modified\r\netag: "a"\r\n/ },
  { name: 'trailers are forwarded', bytes: 'GET /x HTTP/1.1\r\n', answer: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nx-sum: 7\r\n\r\n', expected: /2\r\nhi\r\n0\r\nx-sum: 7\r\n\r\n$/ },
  { name: 'a 103 answer is not taken for the final answer', bytes: 'GET /x HTTP/1.1\r\n', answer: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi', expected: /^HTTP\/1.1 200 OK\r\n(.*\r\n)*\r\nhi$/ },
  { name: 'an upgrade request is not forwarded as an upgrade', bytes: 'GET /x HTTP/1.1\r\nupgrade: websocket\r\nconnection: upgrade\r\n', answer: WHOLE, expected: /^HTTP\/1.1 200 OK\r\n(.*\r\n)*\r\nwhole$/ },
  { name: 'bytes above 127 in header fields are forwarded unchanged', bytes: 'GET /x HTTP/1.1\r\n', answer: Buffer.from('HTTP/1.1 200 OK\r\nx-bytes: \xe4\xff\r\ncontent-length: 0\r\n\r\n', 'latin1'), expected: /x-bytes: \xe4\xff\r\n/ }
]

for (const { name, bytes, answer, expected } of PASSED) {
  test(name, async () => {
    const worker = await RawWorker.start(socket => { socket.write(answer) })
    const fixture = await startFront([worker.address])
    const got = await sendBytes(fixture.address, `${bytes}host: a\r\nconnection: close\r\n\r\n`.replace('connection: upgrade\r\nhost: a\r\nconnection: close', 'connection: upgrade, close\r\nhost: a'))
    expect(got.text).toMatchRegex(expected)
    expect(got.text).toMatchRegex(/rattanstep-outcome: run\r\n/)
    await fixture.close()
    worker.close()
  })
}

test('a caller that waits for 100 Continue gets it, unless its request is rejected because of its head', async () => {
  const worker = await FakeWorker.start((incoming, response) => { incoming.pipe(response) })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({ body: 100 }) })
  const head = 'POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length:'
  expect((await sendBytes(fixture.address, `${head} 2\r\n\r\nhi`)).text).toMatchRegex(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK\r\n(.|\r\n)*hi/)
  expect((await sendBytes(fixture.address, `${head} 200\r\n\r\n`)).text).toMatchRegex(/^HTTP\/1.1 413 /)
  await fixture.close()
  worker.close()
})

test('pipelined requests are answered in their order', async () => {
  const worker = await FakeWorker.start((incoming, response) => { setTimeout(() => { response.end(`<${incoming.url!}>`) }, incoming.url === '/1' ? 60 : 0) })
  const fixture = await startFront([worker.address])
  const calls = [1, 2, 3].map(number => `GET /${number} HTTP/1.1\r\nhost: a\r\n${number === 3 ? 'connection: close\r\n' : ''}\r\n`)
  expect((await sendBytes(fixture.address, calls.join(''))).text.match(/<.*?>/g)).toEqual(['</1>', '</2>', '</3>'])
  await fixture.close()
  worker.close()
})

test('an answer that arrives before the body was sent reaches its caller completely', async () => {
  const worker = await FakeWorker.start((_, response) => { response.writeHead(403, { 'content-length': '6' }).end('no way') })
  const fixture = await startFront([worker.address])
  const body = (async function * () { for (let part = 0; part < 20; part++) { yield Buffer.alloc(1000); await sleep(2) } })()
  const answer = await request(`${fixture.url}/x`, { method: 'POST', body: body as never })
  expect([answer.statusCode, await answer.body.text()]).toEqual([403, 'no way'])
  await fixture.close()
  worker.close()
})

test('during a planned stop the front is not ready, refuses new requests and completes those in flight', async () => {
  const large = Buffer.alloc(3_000_000, 'a')
  const worker = await FakeWorker.start((_, response) => { setTimeout(() => { response.end(large) }, 150) })
  const ready: boolean[] = []
  const fixture = await startFront([worker.address], { onReady: state => { ready.push(state) } })
  const inFlight = [1, 2, 3].map(async number => {
    const answer = await request(`${fixture.url}/${number}`)
    return createHash('sha256').update(Buffer.from(await answer.body.arrayBuffer())).digest('hex')
  })
  await waitUntil(() => worker.runs.size === 3)
  const drained = fixture.front.drain(5000)
  expect([ready, fixture.front.ready]).toEqual([[true, false], false])
  const late = await request(`${fixture.url}/late`)
  expect([late.statusCode, late.headers['rattanstep-outcome'], late.headers['connection']]).toEqual([503, 'not-run', 'close'])
  const expected = createHash('sha256').update(large).digest('hex')
  expect(await Promise.all(inFlight)).toEqual([expected, expected, expected])
  await drained
  expect(worker.runs.size).toEqual(3)
  worker.close()
})

test('a planned stop cuts off the requests that are still in flight after its timeout', async () => {
  const worker = await FakeWorker.start(() => {})
  const fixture = await startFront([worker.address])
  const hanging = request(`${fixture.url}/x`).catch(() => 'cut')
  await waitUntil(() => worker.runs.size === 1)
  await fixture.front.drain(50)
  expect(await hanging).toEqual('cut')
  expect(fixture.log.lines.at(-1)?.fields).toEqual({ cut: 1 })
  worker.close()
})
