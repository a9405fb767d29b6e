import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import type { Instance, TaskStart, WorkerClient } from '@rattanstep/core'
import { HttpWorkers } from '@rattanstep/platform'
import { MemoryObjectStore, MemoryWorkers, WorkerServer } from '../../src/index.js'
import type { TaskHost } from '../../src/index.js'

interface Subject {
  workers: WorkerClient
  worker: Instance
  host: TaskHost
  close: () => Promise<void>
}

const WORKER: Instance = {
  id: 'w1',
  role: 'worker',
  state: 'live',
  dataCentre: 'a',
  rack: 'r1',
  address: { host: '127.0.0.1', port: 0 },
  resources: { slots: 2, cores: 4, memory: 1024, accelerators: 0 },
  connections: 4
}

const clock = new FakeClock()

const SUBJECTS: Record<string, () => Promise<Subject>> = {
  MemoryWorkers: async () => {
    const workers = new MemoryWorkers({ clock, objects: new MemoryObjectStore({ clock }) })
    return { workers, worker: WORKER, host: workers.host(WORKER), close: async () => {} }
  },
  HttpWorkers: async () => {
    const server = new WorkerServer({ instance: WORKER, clock, objects: new MemoryObjectStore({ clock }) })
    await server.listen(WORKER.address)
    const workers = new HttpWorkers()
    const close = async (): Promise<void> => {
      await workers.close()
      await server.close()
    }
    return { workers, worker: server.instance, host: server.host, close }
  }
}

function createStart (fence: number, changes: Partial<TaskStart> = {}): TaskStart {
  return { task: 't', fence, duration: 5000, command: 'serve', resources: { slots: 1, cores: 1, memory: 10, accelerators: 0 }, checkpoint: '', ...changes }
}

type Step = (subject: Subject) => Promise<string>

const start = (fence: number, changes: Partial<TaskStart> = {}): Step => async ({ workers, worker }) => {
  const answer = await workers.start(worker, createStart(fence, changes))
  return answer.isErr() ? answer.error.fault : 'ok'
}
const stop = (fence: number): Step => async ({ workers, worker }) => {
  const answer = await workers.stop(worker, [{ task: 't', fence }])
  return answer.isErr() ? answer.error.fault : 'ok'
}
const renew = (fence: number): Step => async ({ workers, worker }) => {
  const answer = await workers.renew(worker, [{ task: 't', fence, duration: 5000 }])
  return answer.isErr() ? answer.error.fault : `missing ${answer.value.length}`
}
const report: Step = async ({ workers, worker }) => {
  const answer = await workers.report(worker)
  return answer.isErr() ? answer.error.fault : answer.value.tasks.map(task => `${task.fence} ${task.state}`).join(',')
}
const wait: Step = async () => {
  await clock.advance(60)
  return 'ok'
}
const expired: Step = async subject => {
  const validUntil = { epoch: subject.host.epoch, time: clock.now() - 1 }
  return await start(1, { validUntil })(subject)
}
const otherEpoch: Step = async subject => await start(1, { validUntil: { epoch: 'other', time: clock.now() + 5000 } })(subject)

const CASES: Array<{ title: string, steps: Step[], answers: string[] }> = [
  { title: 'a repeated start has no further effect', steps: [start(1), start(1), report], answers: ['ok', 'ok', '1 running'] },
  { title: 'an older fence is refused', steps: [start(2), start(1), report], answers: ['ok', 'refused', '2 running'] },
  { title: 'a newer fence replaces an older one', steps: [start(1), start(2), report], answers: ['ok', 'ok', '2 running'] },
  { title: 'a stopped fence never starts', steps: [stop(1), start(1), start(2)], answers: ['ok', 'refused', 'ok'] },
  { title: 'a stop of an older fence does not stop a newer one', steps: [start(2), stop(1), report], answers: ['ok', 'ok', '2 running'] },
  { title: 'a renewal returns the tasks that do not run', steps: [renew(1), start(1), renew(1), renew(2)], answers: ['missing 1', 'ok', 'missing 0', 'missing 1'] },
  { title: 'a task stops at the end of its lease', steps: [start(1, { duration: 30 }), wait, report], answers: ['ok', 'ok', '1 stopped'] },
  { title: 'a task ends after its run time', steps: [start(1, { command: 'run 20' }), wait, report], answers: ['ok', 'ok', '1 done'] },
  { title: 'a failed task is reported', steps: [start(1, { command: 'fail' }), wait, report], answers: ['ok', 'ok', '1 failed'] },
  { title: 'a task that exceeds the free resources is refused', steps: [start(1, { resources: { slots: 3, cores: 1, memory: 1, accelerators: 0 } })], answers: ['refused'] },
  { title: 'a command past its validity is refused', steps: [expired, report], answers: ['refused', ''] },
  { title: 'a command for another epoch of the worker is refused', steps: [otherEpoch, report], answers: ['refused', ''] }
]

for (const [name, open] of Object.entries(SUBJECTS)) {
  for (const { title, steps, answers } of CASES) {
    test(`${name}: ${title}`, async () => {
      const subject = await open()
      const answersSeen: string[] = []
      for (const step of steps) answersSeen.push(await step(subject))
      expect(answersSeen).toEqual(answers)
      await subject.close()
    })
  }

  test(`${name}: a task continues from its checkpoint`, async () => {
    const { workers, worker, host, close } = await open()
    await workers.start(worker, createStart(1, { command: 'run 40' }))
    await workers.throttle(worker, { task: 't', fence: 1 }, 0)
    const object = (await workers.checkpoint(worker, { task: 't', fence: 1 })).unwrap()
    await workers.stop(worker, [{ task: 't', fence: 1 }])
    await workers.start(worker, createStart(2, { command: 'run 40', checkpoint: object }))
    await wait({ workers, worker, host, close })
    expect((await workers.report(worker)).unwrap().tasks.map(task => task.state)).toEqual(['done'])
    await close()
  })
}

test('HttpWorkers: a stopped worker is unreachable', async () => {
  const server = new WorkerServer({ instance: WORKER, clock })
  await server.listen(WORKER.address)
  const workers = new HttpWorkers()
  await server.close()
  const answer = await workers.report(server.instance)
  expect(answer.isErr() && answer.error.fault).toEqual('unreachable')
  await workers.close()
})
