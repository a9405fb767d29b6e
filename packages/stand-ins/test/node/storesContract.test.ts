import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import type { Instance, InstanceList, ObjectStore } from '@rattanstep/core'
import { HttpInstanceList, HttpObjectStore } from '@rattanstep/platform'
import { MemoryInstanceList, MemoryObjectStore, PlatformServer } from '../../src/index.js'
import type { Faults } from '../../src/index.js'

const clock = new FakeClock()
const LOCAL = { host: '127.0.0.1', port: 0 }

interface Subject {
  objects: ObjectStore
  list: InstanceList
  /** The list behind the adapter, for making changes. */
  memory: MemoryInstanceList
  faults: Faults[]
  close: () => Promise<void>
}

const SUBJECTS: Record<string, (lag: number) => Promise<Subject>> = {
  memory: async lag => {
    const objects = new MemoryObjectStore({ clock })
    const memory = new MemoryInstanceList({ clock, lag })
    return { objects, list: memory, memory, faults: [objects.faults, memory.faultInjector.faults], close: async () => {} }
  },
  http: async lag => {
    const server = new PlatformServer({ clock, lag })
    const address = await server.listen(LOCAL)
    const objects = new HttpObjectStore({ address })
    const list = new HttpInstanceList({ address })
    const close = async (): Promise<void> => {
      await objects.close()
      await list.close()
      await server.close()
    }
    return { objects, list, memory: server.instances, faults: [server.objects.faults, server.instances.faults], close }
  }
}

function createInstance (id: string): Instance {
  return { id, role: 'worker', state: 'live', dataCentre: 'a', rack: 'r1', address: LOCAL, resources: { slots: 1, cores: 1, memory: 1, accelerators: 0 }, connections: 1 }
}

async function listStates (list: InstanceList): Promise<string> {
  const answer = await list.list()
  return answer.isErr() ? answer.error.fault : answer.value.map(entry => `${entry.id} ${entry.state}`).join(',')
}

for (const [name, open] of Object.entries(SUBJECTS)) {
  test(`${name}: objects are read back unchanged`, async () => {
    const { objects, close } = await open(0)
    const bytes = Uint8Array.from({ length: 70_000 }, (_, index) => index % 256)
    for (const key of ['plain', 'checkpoint/a b/1', '%2F', 'ü']) {
      expect((await objects.put(key, bytes)).isOk()).toEqual(true)
      expect(Buffer.from((await objects.get(key)).unwrap()!).equals(Buffer.from(bytes))).toEqual(true)
    }
    expect((await objects.get('none')).unwrap()).toEqual(null)
    expect((await objects.put('plain', new Uint8Array())).isOk()).toEqual(true)
    expect((await objects.get('plain')).unwrap()!.length).toEqual(0)
    await close()
  })

  test(`${name}: changes of instances are visible after the lag`, async () => {
    const { list, memory, close } = await open(100)
    memory.add(createInstance('w1'))
    expect(await listStates(list)).toEqual('')
    await clock.advance(100)
    expect(await listStates(list)).toEqual('w1 live')
    memory.leave('w1')
    expect(await listStates(list)).toEqual('w1 live')
    await clock.advance(100)
    expect(await listStates(list)).toEqual('w1 leaving')
    memory.remove('w1')
    await clock.advance(100)
    expect(await listStates(list)).toEqual('')
    await close()
  })

  const FAULTS: Array<{ title: string, faults: Partial<Faults>, put: string, get: string, list: string }> = [
    { title: 'the platform is down', faults: { down: true }, put: 'unavailable', get: 'unavailable', list: 'unavailable' },
    { title: 'answers are lost', faults: { loseAnswers: true }, put: 'unknown', get: 'ok', list: '' },
    { title: 'writes are late', faults: { lateWrites: 10 }, put: 'unknown', get: 'ok', list: '' }
  ]

  for (const { title, faults, put, get, list } of FAULTS) {
    test(`${name}: the fault is reported when ${title}`, async () => {
      const subject = await open(0)
      for (const target of subject.faults) Object.assign(target, faults)
      const stored = await subject.objects.put('a', new Uint8Array([1]))
      const read = await subject.objects.get('a')
      expect(stored.isErr() ? stored.error.fault : 'ok').toEqual(put)
      expect(read.isErr() ? read.error.fault : 'ok').toEqual(get)
      expect(await listStates(subject.list)).toEqual(list)
      await subject.close()
    })
  }
}

test('an instance registers, leaves and is removed over HTTP', async () => {
  const server = new PlatformServer({ clock })
  const list = new HttpInstanceList({ address: await server.listen(LOCAL) })
  await list.register(createInstance('w1'))
  expect(await listStates(list)).toEqual('w1 live')
  await list.leave('w1')
  expect(await listStates(list)).toEqual('w1 leaving')
  await list.remove('w1')
  expect(await listStates(list)).toEqual('')
  await list.close()
  await server.close()
})
