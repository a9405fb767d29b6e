import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { describe, test } from 'node:test'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { SystemClock } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { LimitMonitor } from '../../src/callers/LimitMonitor.js'
import { PortServer } from '../../src/callers/PortServer.js'
import { SMALLEST_MACHINE, defaultLimits } from '../../src/callers/limits.js'
import type { ClientLimits } from '../../src/callers/limits.js'

const HOST = '127.0.0.1'
const MAX_BODY = 262_144
/** Bound on a hang; no measure of speed. */
const TIMEOUT_MS = 15_000
/** More than the kernel keeps for an end that does not read. */
const BIG_RESPONSE = 'x'.repeat(16_000_000)
const POST = 'POST /p HTTP/1.1\r\nHost: x\r\n'

interface Served {
  open: () => Promise<Client>
  metrics: Metrics
  log: MemoryLog
  /** Requests that were handled, with the length of their bodies. */
  handled: string[]
  server: PortServer
}

/** A connection and what was received on it. */
class Client {
  received = ''
  isClosed = false

  constructor (readonly socket: Socket) {
    socket.setEncoding('latin1').on('data', (text: string) => { this.received += text }).on('error', () => {}).on('close', () => { this.isClosed = true })
  }

  /** Waits until the connection has got a number of final responses; returns their statuses. */
  async statuses (count: number): Promise<string[]> {
    await until(() => this.read().length >= count || this.isClosed)
    return this.read()
  }

  private read (): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 ([2-5]\d\d) /g)].map(match => match[1]!)
  }
}

async function until (holds: () => boolean): Promise<void> {
  const end = Date.now() + TIMEOUT_MS
  while (!holds()) {
    if (Date.now() > end) throw new Error('time-out')
    await sleep(5)
  }
}

/** Starts a server that answers 401 to the path `/no` before the body is read, and otherwise 200 after `delay` ms, or 413. */
async function serve (context: TestContext, changes: Partial<ClientLimits> = {}, delay = 0): Promise<Served> {
  const clock = new SystemClock()
  const log = new MemoryLog()
  const metrics = new Metrics()
  const monitor = new LimitMonitor({ clock, log, metrics })
  const limits = { ...defaultLimits(SMALLEST_MACHINE.memory, SMALLEST_MACHINE.descriptors), ...changes }
  const handled: string[] = []
  const server = new PortServer({
    clock,
    log,
    limits,
    bodyBytes: limits.bodyBytes,
    monitor,
    connectionLimit: 'connections',
    handle: async ({ message, readBody }) => {
      if (message.url === '/no') return { status: 401 }
      const body = await readBody(MAX_BODY)
      if (body.kind !== 'complete') return { status: 413, close: true }
      handled.push(`${message.method} ${message.url} ${body.text.length}`)
      await sleep(delay)
      return { status: 200, body: message.url === '/big' ? BIG_RESPONSE : message.url }
    }
  })
  const port = await findFreePort()
  server.listen(HOST, port)
  const clients: Client[] = []
  context.after(() => {
    for (const { socket } of clients) socket.destroy()
    server.close()
    monitor.stop()
  })
  const open = async (): Promise<Client> => {
    const socket = connect(port, HOST)
    const client = new Client(socket)
    clients.push(client)
    await new Promise(resolve => socket.once('connect', resolve).once('error', resolve))
    return client
  }
  return { open, metrics, log, handled, server }
}

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

function reached (metrics: Metrics): string[] {
  return metrics.snapshot().flatMap(series => series.kind === 'counter' && series.name === 'limit_reached' && series.value > 0 ? [series.labels.limit!] : [])
}

describe('a port for clients', () => {
  // Guards against limits that ordinary callers reach.
  test('serves bodies up to the maximum, whole, in chunks, and slowly but steadily', async context => {
    const { open, handled, metrics } = await serve(context, { bodyTimeout: 700, headTimeout: 700 })
    const whole = await open()
    whole.socket.write(`${POST}Content-Length: ${MAX_BODY}\r\n\r\n${'x'.repeat(MAX_BODY)}`)
    const chunked = await open()
    chunked.socket.write(`${POST}Transfer-Encoding: chunked\r\n\r\n${`4000\r\n${'x'.repeat(16_384)}\r\n`.repeat(16)}0\r\n\r\n`)
    const slow = await open()
    slow.socket.write(`${POST}Content-Length: 20\r\n\r\n`)
    for (let index = 0; index < 20; index++) {
      await sleep(100)
      slow.socket.write('x')
    }
    for (const client of [whole, chunked, slow]) expect(await client.statuses(1)).toEqual(['200'])
    expect(handled).toEqual([`POST /p ${MAX_BODY}`, `POST /p ${MAX_BODY}`, 'POST /p 20'])
    expect(reached(metrics)).toEqual([])
  })

  test('keeps connections, closes them if asked to, and asks for a body that waits for it', async context => {
    const { open } = await serve(context)
    const kept = await open()
    kept.socket.write('GET /1 HTTP/1.1\r\nHost: x\r\n\r\n')
    expect(await kept.statuses(1)).toEqual(['200'])
    kept.socket.write(`${POST}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n`)
    await until(() => kept.received.includes('HTTP/1.1 100 Continue\r\n\r\n'))
    kept.socket.write('ab')
    expect(await kept.statuses(2)).toEqual(['200', '200'])
    kept.socket.write('GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
    expect(await kept.statuses(3)).toEqual(['200', '200', '200'])
    await until(() => kept.isClosed)
  })

  // Guards against a refusal that the sender doesn't see, and a body that is asked for although it is refused.
  test('refuses before the body is read, and goes on with the connection after a short body', async context => {
    const { open, handled } = await serve(context)
    const client = await open()
    client.socket.write('POST /no HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n')
    expect(await client.statuses(1)).toEqual(['401'])
    client.socket.write('0123456789GET /next HTTP/1.1\r\nHost: x\r\n\r\n')
    expect(await client.statuses(2)).toEqual(['401', '200'])
    expect(handled).toEqual(['GET /next 0'])
    const waiting = await open()
    waiting.socket.write('POST /no HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n')
    expect(await waiting.statuses(1)).toEqual(['401'])
    expect(waiting.received.includes('100 Continue')).toEqual(false)
    await until(() => waiting.isClosed)
  })

  test('refuses a body over the limit, at once if its length is announced', async context => {
    const { open, handled } = await serve(context)
    const announced = await open()
    announced.socket.write(`${POST}Content-Length: ${MAX_BODY + 1}\r\n\r\n`)
    expect(await announced.statuses(1)).toEqual(['413'])
    const chunked = await open()
    chunked.socket.write(`${POST}Transfer-Encoding: chunked\r\n\r\n${`10000\r\n${'x'.repeat(65_536)}\r\n`.repeat(5)}`)
    expect(await chunked.statuses(1)).toEqual(['413'])
    await until(() => announced.isClosed && chunked.isClosed)
    expect(handled).toEqual([])
  })

  // Guards against pipelined requests that are all started when they are read.
  test('serves pipelined requests one after another, in order, whatever the pieces', async context => {
    const { open, handled } = await serve(context, {}, 30)
    const client = await open()
    const requests = ['GET /1 HTTP/1.1\r\nHost: x\r\n\r\n', `${POST}Content-Length: 3\r\n\r\nabc`, `${POST}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n`, 'GET /2 HTTP/1.1\r\nHost: x\r\n\r\n'].join('')
    client.socket.write(requests)
    await until(() => handled.length > 0)
    expect(handled).toEqual(['GET /1 0'])
    expect(await client.statuses(4)).toEqual(['200', '200', '200', '200'])
    for (const piece of requests) client.socket.write(piece)
    expect(await client.statuses(8)).toEqual(Array.from({ length: 8 }, () => '200'))
    expect(handled).toEqual([...handled.slice(0, 4), ...handled.slice(0, 4)])
    expect(handled.slice(0, 4)).toEqual(['GET /1 0', 'POST /p 3', 'POST /p 2', 'GET /2 0'])
  })

  test('closes a connection after too many pipelined requests', async context => {
    const { open, handled, metrics } = await serve(context, { pipelinedRequests: 5 })
    const client = await open()
    client.socket.write('GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(20))
    await until(() => client.isClosed)
    expect(handled.length).toEqual(6)
    expect(reached(metrics)).toEqual(['pipelinedRequests'])
  })

  test('refuses too many and too long headers, and a request without a host', async context => {
    const { open, handled, metrics } = await serve(context)
    const many = await open()
    many.socket.write(`GET /1 HTTP/1.1\r\nHost: x\r\n${'A: b\r\n'.repeat(200)}\r\n`)
    expect(await many.statuses(1)).toEqual(['431'])
    const long = await open()
    long.socket.write(`GET /1 HTTP/1.1\r\nHost: x\r\nA: ${'b'.repeat(30_000)}\r\n\r\n`)
    expect(await long.statuses(1)).toEqual(['431'])
    const hostless = await open()
    hostless.socket.write('GET /1 HTTP/1.1\r\n\r\n'.repeat(3))
    await until(() => hostless.isClosed)
    expect(await hostless.statuses(1)).toEqual(['400'])
    expect(handled).toEqual([])
    expect(reached(metrics)).toEqual(['headCount', 'headBytes'])
  })

  test('closes connections whose head or body makes no progress, and idle ones', async context => {
    const { open, handled, metrics, log } = await serve(context, { headTimeout: 600, bodyTimeout: 600, idleTimeout: 600 })
    const clients = await Promise.all(['', 'GET /1 HTTP/1.1\r\nHost: x\r\n', `${POST}Content-Length: 3\r\n\r\nab`, `${POST}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n`].map(async text => {
      const client = await open()
      client.socket.write(text)
      return client
    }))
    await until(() => clients.every(client => client.isClosed))
    expect(handled).toEqual([])
    expect(reached(metrics).sort()).toEqual(['bodyTimeout', 'headTimeout', 'idleTimeout'])
    expect(log.lines.map(({ event, fields }) => [event.number, fields.limit, fields.count]).sort()).toEqual([[8095, 'bodyTimeout', 1], [8095, 'headTimeout', 1], [8095, 'idleTimeout', 1]])
  })

  // Guards against responses that pile up for a client which doesn't read them.
  test('handles no further requests of a client that does not read, and closes its connection', async context => {
    const { open, handled, metrics } = await serve(context, { responseTimeout: 1000 })
    const client = await open()
    client.socket.pause()
    client.socket.write('GET /big HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(5))
    await until(() => reached(metrics).length > 0)
    expect(handled).toEqual(['GET /big 0'])
    expect(reached(metrics)).toEqual(['responseTimeout'])
    const reading = await open()
    reading.socket.write('GET /big HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(2))
    await until(() => reading.received.length > 2 * BIG_RESPONSE.length)
    expect(await reading.statuses(2)).toEqual(['200', '200'])
  })

  // Guards against a server that is full of connections which do nothing.
  test('closes a connection that waits for a new one when there are too many, and none whose request is being handled', async context => {
    const { open, metrics, server } = await serve(context, { connections: 3 }, 1500)
    const busy = await open()
    busy.socket.write('GET /busy HTTP/1.1\r\nHost: x\r\n\r\n')
    const body = await open()
    body.socket.write(`${POST}Content-Length: 3\r\n\r\nab`)
    const idle = await open()
    await sleep(400)
    const first = await open()
    first.socket.write('GET /1 HTTP/1.1\r\nHost: x\r\n\r\n')
    await until(() => idle.isClosed)
    const second = await open()
    second.socket.write('GET /2 HTTP/1.1\r\nHost: x\r\n\r\n')
    await until(() => body.isClosed)
    for (const client of [busy, first, second]) expect(await client.statuses(1)).toEqual(['200'])
    expect(server.size).toEqual(3)
    expect(reached(metrics)).toEqual(['connections'])
  })
})
