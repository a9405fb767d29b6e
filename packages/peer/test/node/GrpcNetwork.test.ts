import { after, test } from 'node:test'
import { createServer, connect } from 'node:net'
import type { Socket } from 'node:net'
import { expect } from 'earl'
import type { Address, Incarnation, Message } from '@rattanstep/core'
import { MemoryLog } from '@rattanstep/telemetry'
import { GrpcNetwork } from '../../src/index.js'
import { EVERY_MESSAGE } from './messages.js'

const LOCAL: Address = { host: '127.0.0.1', port: 0 }

interface TestEndpoint {
  network: GrpcNetwork
  address: Address
  log: MemoryLog
  received: Array<{ from: Incarnation, message: Message }>
}

const opened: GrpcNetwork[] = []
after(() => { for (const network of opened) network.close() })

async function openEndpoint (self: Incarnation, secret = 'shared'): Promise<TestEndpoint> {
  const log = new MemoryLog()
  const network = new GrpcNetwork({ self, address: LOCAL, secret, log })
  opened.push(network)
  const received: TestEndpoint['received'] = []
  network.setReceiver((from, message) => received.push({ from, message }))
  const address = await network.listen()
  return { network, address, log, received }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

function voteRequest (version: number): Message {
  return { kind: 'vote-request', holder: 'x@1', version }
}

/** Starts a TCP relay that can stop forwarding data without closing its connections. */
async function openRelay (target: Address): Promise<{ address: Address, silence: () => void, close: () => void }> {
  const sockets: Socket[] = []
  let silenced: Socket[] = []
  const server = createServer(socket => {
    const out = connect(target.port, target.host)
    sockets.push(socket, out)
    for (const [a, b] of [[socket, out], [out, socket]] as const) {
      a.on('data', bytes => { if (!silenced.includes(a)) b.write(bytes) })
      a.on('error', () => {})
      a.on('close', () => { b.destroy() })
    }
  })
  await new Promise<void>(resolve => server.listen(0, LOCAL.host, resolve))
  const { port } = server.address() as { port: number }
  return {
    address: { host: LOCAL.host, port },
    silence: () => { silenced = [...sockets] },
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

test('every kind of message arrives as it was sent', async () => {
  const [a, b] = [await openEndpoint('a@1'), await openEndpoint('b@1')]
  a.network.addPeer('b@1', b.address)
  for (const message of EVERY_MESSAGE) a.network.send('b@1', message)
  await until(() => b.received.length === EVERY_MESSAGE.length)
  expect(b.received.map(item => item.message)).toEqual(EVERY_MESSAGE)
  expect(b.received.every(item => item.from === 'a@1')).toEqual(true)
})

test('a message from a node to itself is delivered', async () => {
  const a = await openEndpoint('self@1')
  a.network.send('self@1', voteRequest(1))
  await until(() => a.received.length === 1)
  expect(a.received[0]).toEqual({ from: 'self@1', message: voteRequest(1) })
})

test('a node with another secret is refused and none of its messages are delivered', async () => {
  const [intruder, b] = [await openEndpoint('s@1', 'guessed'), await openEndpoint('b@2')]
  intruder.network.addPeer('b@2', b.address)
  intruder.network.send('b@2', voteRequest(1))
  await until(() => intruder.log.lines.some(line => line.event.name === 'peer-refused'))
  expect(b.received).toEqual([])
})

test('a restarted node at the same address does not get messages for its previous incarnation', async () => {
  const [a, b] = [await openEndpoint('a@3'), await openEndpoint('b@new')]
  a.network.addPeer('b@old', b.address)
  a.network.send('b@old', voteRequest(1))
  await until(() => a.log.lines.some(line => String(line.fields.reason).includes('address now belongs to b@new')))
  expect(b.received).toEqual([])
})

test('a node is discovered by its address alone', async () => {
  const [a, b] = [await openEndpoint('a@4'), await openEndpoint('b@4')]
  const found = await new Promise<Incarnation>(resolve => { a.network.discover(b.address, resolve) })
  expect(found).toEqual('b@4')
  a.network.send(found, voteRequest(7))
  await until(() => b.received.length === 1)
  expect(b.received[0]?.message).toEqual(voteRequest(7))
})

test('a connection that has become silent is replaced by a new one', async () => {
  const [a, b] = [await openEndpoint('a@5'), await openEndpoint('b@5')]
  const relay = await openRelay(b.address)
  a.network.addPeer('b@5', relay.address)
  a.network.send('b@5', voteRequest(1))
  await until(() => b.received.length === 1)
  relay.silence()
  a.network.send('b@5', voteRequest(2))
  await until(() => a.log.lines.some(line => line.event.name === 'peer-silent'))
  a.network.send('b@5', voteRequest(3))
  await until(() => b.received.length === 2)
  expect(b.received[1]?.message).toEqual(voteRequest(3))
  relay.close()
})
