import { test } from 'node:test'
import { startNode } from '@rattanstep/node'
import { parseSettings } from '@rattanstep/rules'
import { MemoryInstanceList, startEmbeddedPlatform } from '@rattanstep/stand-ins'
import { SilentLog } from '@rattanstep/telemetry'
import { expect } from 'earl'
import { request } from 'undici'

const TEXT = `
id: embedded
cell: winter
dataCentre: jm-south-1
front: 127.0.0.1:0
peer: 127.0.0.1:0
control: 127.0.0.1:0
platform: 127.0.0.1:7900
secret: change-me-before-winter
`

test('a node runs inside another program, as the readme describes', async () => {
  const platform = await startEmbeddedPlatform()
  const entry = { id: 'embedded', role: 'entry', state: 'live', dataCentre: 'jm-south-1', rack: 'entry' } as const
  if (platform.instances instanceof MemoryInstanceList) {
    platform.instances.add({ ...entry, address: { host: '127.0.0.1', port: 0 }, connections: 0, resources: { slots: 0, cores: 0, memory: 0, accelerators: 0 } })
  }
  const settings = parseSettings(TEXT, { file: 'node.yaml' }).unwrap()
  const node = await startNode({ settings, platform, log: new SilentLog() })
  await node.whenServing()
  const { host, port } = node.addresses.front
  const answer = await request(`http://${host}:${port}/any/path`, { method: 'POST', body: 'text' })
  expect([answer.headers['rattanstep-outcome'], await answer.body.text()]).toEqual(['run', 'text'])
  await node.drain()
  await platform.close()
})
