import { describe, test } from 'node:test'
import type { AddressInfo } from 'node:net'
import { expect } from 'earl'
import { Metrics } from '@rattanstep/telemetry'
import { TcpLinkConnector, TrafficMeter, listenForLinks } from '../../src/index.js'

interface Message {
  kind: string
  text: string
}

describe('the traffic of a link', () => {
  test('is counted by kind at both ends', async () => {
    const received = new Metrics()
    const sent = new Metrics()
    let resolveMessage!: (message: Message) => void
    const message = new Promise<Message>(resolve => { resolveMessage = resolve })
    const server = listenForLinks<Message, Message>({ host: '127.0.0.1', port: 0 }, link => { link.onMessage = resolveMessage }, new TrafficMeter({ metrics: received, name: 'link' }))
    await new Promise(resolve => { server.once('listening', resolve) })
    const connector = new TcpLinkConnector<Message, Message>(new TrafficMeter({ metrics: sent, name: 'link' }))
    const link = (await connector.connect(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1000)).unwrap()
    link.send({ kind: 'beat', text: 'x'.repeat(100) })
    expect((await message).kind).toEqual('beat')
    const length = JSON.stringify({ kind: 'beat', text: 'x'.repeat(100) }).length + 1
    expect(sent.render()).toEqual(`link_chars_total{direction="sent",kind="beat"} ${length}\n`)
    expect(received.render()).toEqual(`link_chars_total{direction="received",kind="beat"} ${length}\n`)
    link.close()
    server.close()
  })
})
