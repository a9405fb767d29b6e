import { request as send } from 'node:http'
import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock, SystemClock } from '@rattanstep/core'
import type { Instance } from '@rattanstep/core'
import { WorkerServer } from '../../src/index.js'

const WORKER: Instance = { id: 'w1', role: 'worker', state: 'live', dataCentre: 'a', rack: 'r1', address: { host: '127.0.0.1', port: 0 }, resources: { slots: 2, cores: 2, memory: 1, accelerators: 0 }, connections: 2 }

interface Answer {
  status: number
  body: string
  /** Whether the whole body was received. */
  isComplete: boolean
}

async function call (server: WorkerServer, path: string, options: { body?: string, headers?: Record<string, string> } = {}): Promise<Answer> {
  return await new Promise(resolve => {
    const failed = (): void => { resolve({ status: 0, body: '', isComplete: false }) }
    const { host, port } = server.instance.address
    const outgoing = send({ host, port, path, method: options.body === undefined ? 'GET' : 'POST', headers: options.headers, agent: false }, answer => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      answer.on('error', () => {})
      answer.on('close', () => { resolve({ status: answer.statusCode ?? 0, body: Buffer.concat(chunks).toString(), isComplete: answer.complete }) })
    })
    outgoing.on('error', failed)
    outgoing.end(options.body)
  })
}

const CASES: Array<{ title: string, path: string, body?: string, headers?: Record<string, string>, expected: Answer }> = [
  { title: 'a body is returned unchanged', path: '/any', body: 'hello', expected: { status: 200, body: 'hello', isComplete: true } },
  { title: 'a request without a body is answered with its description', path: '/a?b=1', expected: { status: 200, body: '{"worker":"w1","method":"GET","path":"/a?b=1"}', isComplete: true } },
  { title: 'the response has the requested size', path: '/a?size=3', expected: { status: 200, body: 'aaa', isComplete: true } },
  { title: 'a requested failure is answered with status 500', path: '/a?fail=1&size=0', expected: { status: 500, body: '', isComplete: true } },
  { title: 'the response has the requested status', path: '/a?status=404&size=0', expected: { status: 404, body: '', isComplete: true } },
  { title: 'the connection is closed after the requested number of bytes', path: '/a', headers: { 'echo-size': '100', 'echo-cut': '4' }, expected: { status: 200, body: 'aaaa', isComplete: false } },
  { title: 'invalid options are ignored', path: '/a?size=-1&status=9&time=x', body: 'b', expected: { status: 200, body: 'b', isComplete: true } }
]

for (const { title, path, body, headers, expected } of CASES) {
  test(`a worker echoes: ${title}`, async () => {
    const server = new WorkerServer({ instance: WORKER, clock: new SystemClock() })
    await server.listen(WORKER.address)
    expect(await call(server, path, { body, headers })).toEqual(expected)
    await server.close()
  })
}

test('a worker records more requests and connections than its capacity, and counts repeated runs of a request', async () => {
  const clock = new FakeClock()
  const server = new WorkerServer({ instance: WORKER, clock })
  await server.listen(WORKER.address)
  const headers = { 'rattanstep-request': 'r1' }
  const calls = [1, 2, 3].map(async () => await call(server, '/a?time=50', { headers }))
  while (server.echo.running < 3) await new Promise(resolve => { setImmediate(resolve) })
  expect(server.violations.sort()).toEqual(['3 connections of 2', '3 slots in use of 2'])
  expect(server.echo.countsById.get('r1')).toEqual(3)
  while (server.echo.running > 0) await clock.advance(50)
  await Promise.all(calls)
  await server.close()
})
