import { connect } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { describe, test } from 'node:test'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { SystemClock } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import type { FollowerMessage } from '../../src/index.js'
import { LimitMonitor } from '../../src/callers/LimitMonitor.js'
import { listenForLinks } from '../../src/node/TcpLink.js'

const HELLO = JSON.stringify({ kind: 'hello', node: 'n', dataCentre: 'd', address: 'n:1', strength: 1, age: 1 }) + '\n'
/** Bound on a hang; no measure of speed. */
const TIMEOUT_MS = 15_000

interface Links {
  open: (text?: string) => Promise<Socket>
  messages: string[]
  reached: () => string[]
}

async function listen (context: TestContext, limits: { links?: number, newLinks?: number, helloTimeout?: number }): Promise<Links> {
  const metrics = new Metrics()
  const monitor = new LimitMonitor({ clock: new SystemClock(), log: new MemoryLog(), metrics })
  const messages: string[] = []
  const server: Server = listenForLinks<FollowerMessage, never>({ host: '127.0.0.1', port: 0 }, link => { link.onMessage = message => { messages.push(message.kind) } }, undefined,
    { links: 10, newLinks: 10, helloChars: 200, helloTimeout: 60_000, ...limits, monitor })
  await new Promise(resolve => server.once('listening', resolve))
  const sockets: Socket[] = []
  context.after(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
    monitor.stop()
  })
  return {
    messages,
    reached: () => metrics.snapshot().flatMap(series => series.kind === 'counter' && series.value > 0 ? [series.labels.limit!] : []),
    open: async (text = '') => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      sockets.push(socket)
      socket.on('error', () => {}).resume()
      await new Promise(resolve => socket.once('connect', resolve))
      socket.write(text)
      return socket
    }
  }
}

async function until (holds: () => boolean): Promise<void> {
  const end = Date.now() + TIMEOUT_MS
  while (!holds()) {
    if (Date.now() > end) throw new Error('time-out')
    await sleep(5)
  }
}

// Guards against an unknown peer that makes a process hold memory or descriptors through the port for links.
describe('a link that another process opens', () => {
  test('is closed when it says no hello in time, and kept after its hello', async context => {
    const { open, messages, reached } = await listen(context, { helloTimeout: 300 })
    const node = await open(HELLO)
    const silent = await open()
    await until(() => silent.destroyed && messages.length === 1)
    expect(reached()).toEqual(['helloTimeout'])
    node.write(JSON.stringify({ kind: 'cancel', id: 'x'.repeat(10_000) }) + '\n')
    await until(() => messages.length === 2)
    expect(node.destroyed).toEqual(false)
  })

  test('is closed when its first message is too long, with or without an end', async context => {
    const { open, messages, reached } = await listen(context, {})
    const endless = await open('x'.repeat(300))
    const long = await open(JSON.stringify({ kind: 'beat', filler: 'x'.repeat(300) }) + '\n')
    await until(() => endless.destroyed && long.destroyed)
    expect([messages, reached()]).toEqual([[], ['helloChars']])
  })

  test('takes the place of the oldest one without a hello, and never of one with it', async context => {
    const { open, messages, reached } = await listen(context, { newLinks: 2 })
    const node = await open(HELLO)
    await until(() => messages.length === 1)
    const first = await open()
    await open()
    await open()
    await until(() => first.destroyed)
    expect([node.destroyed, reached()]).toEqual([false, ['newLinks']])
  })

  test('is closed when there are too many links', async context => {
    const { open, messages, reached } = await listen(context, { links: 2 })
    for (let index = 0; index < 2; index++) await open(HELLO)
    await until(() => messages.length === 2)
    const third = await open()
    await until(() => third.destroyed)
    expect(reached()).toEqual(['links'])
  })
})
