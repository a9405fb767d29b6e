import { describe, test } from 'node:test'
import { expect } from 'earl'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FollowerMessage } from '../../src/index.js'
import { listenForLinks } from '../../src/node/TcpLink.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

const MALFORMED_JOBS: Array<[string, unknown]> = [
  ['no job', undefined],
  ['a step that is null', { id: '0'.repeat(16), route: 'r', spec: '', steps: [null], acceptedAt: 0 }],
  ['a step without a size', { id: '0'.repeat(16), route: 'r', spec: '', steps: [{ ...stepOf({}), size: undefined }], acceptedAt: 0 }]
]

// Guards against a process that ends, or a decider that places no tasks any more, because of one message.
describe('a malformed message', () => {
  for (const [name, job] of MALFORMED_JOBS) {
    test(`with ${name} is left out by the decider`, async () => {
      const rig = await createSteadyRig()
      const follower = rig.nodes.find(node => node !== rig.decider)!
      for (const link of follower.endpoint.links) link.send({ kind: 'job', job })
      const { id } = await rig.submit(follower, [{}])
      await rig.run(3000)
      expect(await rig.phases([id])).toEqual(['completed'])
    })
  }

  test('of the decider is left out by a follower', async () => {
    const rig = await createSteadyRig()
    for (const link of rig.decider!.endpoint.links) link.send({ kind: 'execute', fence: 1 })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 4 }])
    await rig.run(3000)
    expect(await rig.phases([id])).toEqual(['completed'])
  })

  test('that is not an object closes its link', async () => {
    const reasons: string[] = []
    const server = listenForLinks<FollowerMessage, never>({ host: '127.0.0.1', port: 0 }, link => { link.onClose = reason => { reasons.push(reason) } })
    await new Promise(resolve => { server.once('listening', resolve) })
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write('null\n')
    for (let waited = 0; reasons.length === 0 && waited < 2000; waited += 10) await sleep(10)
    socket.destroy()
    server.close()
    expect(reasons).toEqual(['the message has no kind'])
  })
})
