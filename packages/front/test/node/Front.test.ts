import { createHash } from 'node:crypto'
import { test } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { FakeWorker, sampleRules, startFront } from './startFront.js'

test('a request is run on a worker and its complete answer is returned', async () => {
  const worker = await FakeWorker.start((incoming, response) => {
    response.writeHead(201, 'Made', ['x-one', '1', 'set-cookie', 'a=1', 'set-cookie', 'b=2', 'rattanstep-outcome', 'forged', 'connection', 'x-hop', 'x-hop', '1'])
    incoming.pipe(response)
  })
  const fixture = await startFront([worker.address])
  const body = Buffer.from(Array.from({ length: 256 }, (_, index) => index))
  const answer = await request(`${fixture.url}/a%20b?c=d`, { method: 'POST', body })
  expect(answer.statusCode).toEqual(201)
  expect(answer.headers['rattanstep-outcome']).toEqual('run')
  expect(answer.headers['rattanstep-request']).toEqual('n1.0')
  expect(answer.headers['set-cookie']).toEqual(['a=1', 'b=2'])
  expect(answer.headers['x-hop']).toEqual(undefined)
  expect(Buffer.from(await answer.body.arrayBuffer())).toEqual(body)
  expect([...worker.runs]).toEqual([['/a%20b?c=d', 1]])
  expect(fixture.permits.held.size).toEqual(0)
  expect(fixture.permits.endings).toEqual(['completed'])
  expect(fixture.log.lines.filter(line => line.event.name === 'request-routed').map(line => [line.fields['class'], line.fields['worker'], line.fields['outcome']])).toEqual([['checks', 'w0', 'run']])
  await fixture.close()
  worker.close()
})

for (const { sized, length } of [{ sized: true, length: 900_000 }, { sized: false, length: 900_000 }, { sized: false, length: 0 }]) {
  test(`a ${sized ? 'sized' : 'chunked'} body of ${length} bytes is streamed unchanged in both directions`, async () => {
    const worker = await FakeWorker.start((incoming, response) => { incoming.pipe(response) })
    const fixture = await startFront([worker.address])
    const bytes = Buffer.alloc(length, Buffer.from([0, 255, 13, 10, 7]))
    const body = sized ? bytes : (async function * () { for (let at = 0; at < length; at += 10_000) yield bytes.subarray(at, at + 10_000) })()
    const answer = await request(`${fixture.url}/echo`, { method: 'PUT', body: body as never })
    const received = Buffer.from(await answer.body.arrayBuffer())
    expect(received.length).toEqual(length)
    expect(createHash('sha256').update(received).digest('hex')).toEqual(createHash('sha256').update(bytes).digest('hex'))
    await fixture.close()
    worker.close()
  })
}

const REFUSALS = [
  { name: 'a request for an unknown path', path: '/none', rules: { routes: [] }, status: 404 },
  { name: 'a request whose declared body is too large', path: '/x', rules: { limits: sampleRules({ body: 10 }).limits }, status: 413 },
  { name: 'a request beyond the limit of the node', path: '/x', rules: { limits: sampleRules({ callers: 0 }).limits }, status: 503 },
  { name: 'a request beyond the limit of its caller', path: '/x', rules: { limits: sampleRules({ perCaller: 0 }).limits }, status: 429 }
]

for (const { name, path, rules, status } of REFUSALS) {
  test(`${name} is answered with ${status} and is not run`, async () => {
    const worker = await FakeWorker.start((_, response) => { response.end() })
    const fixture = await startFront([worker.address], { rules: () => ({ ...sampleRules(), ...rules }) })
    const answer = await request(`${fixture.url}${path}`, { method: 'POST', body: 'twelve bytes' })
    expect(answer.statusCode).toEqual(status)
    expect(answer.headers['rattanstep-outcome']).toEqual('not-run')
    expect(answer.headers['content-type']).toEqual('application/problem+json')
    expect((await answer.body.json() as { outcome: string }).outcome).toEqual('not-run')
    expect(worker.runs.size).toEqual(0)
    await fixture.close()
    worker.close()
  })
}

test('a request that is refused a permit is answered with 503 and Retry-After', async () => {
  const fixture = await startFront([], { refusal: { ask: '', reason: 'patience', retryAfter: 2400, redirect: '' } })
  const answer = await request(`${fixture.url}/x`)
  expect([answer.statusCode, answer.headers['rattanstep-outcome'], answer.headers['retry-after']]).toEqual([503, 'not-run', '3'])
  await fixture.close()
})

const METHODS = ['GET', 'DELETE', 'PATCH', 'OPTIONS', 'PROPFIND', 'M-SEARCH', 'TRACE']

for (const method of METHODS) {
  test(`${method} requests with a body are forwarded unchanged`, async () => {
    const worker = await FakeWorker.start((incoming, response) => {
      response.setHeader('x-method', incoming.method!)
      incoming.pipe(response)
    })
    const fixture = await startFront([worker.address])
    const answer = await request(`${fixture.url}/any`, { method: method as 'GET', body: 'with a body' })
    expect([answer.statusCode, answer.headers['x-method'], await answer.body.text()]).toEqual([200, method, 'with a body'])
    await fixture.close()
    worker.close()
  })
}
