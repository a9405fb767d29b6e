import { describe, test } from 'node:test'
import { FakeClock } from '@rattanstep/core'
import { expect } from 'earl'
import type { Task } from '../../src/runtime/model.js'
import { Registry } from '../../src/runtime/Registry.js'
import { recordRowName, submissionRowName } from '../../src/runtime/rowNames.js'
import { encodeSubmission } from '../../src/runtime/submissionRow.js'
import type { TaskLifecycle } from '../../src/runtime/TaskLifecycle.js'
import { acknowledgedEnd, WorkerEnds } from '../../src/runtime/WorkerEnds.js'
import { WorkerSpeeds } from '../../src/speeds/WorkerSpeeds.js'
import { createJob } from '../../src/runtime/createJob.js'
import { weighJob } from '../../src/openJobs/weighJob.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'
import type { FakeWorker } from '../support/FakeWorkers.js'

const JOB_WEIGHT = weighJob({ spec: 'x', steps: [stepOf({})], route: 'r' }).weight
/** Number of jobs in the store that have begun; a decider has room for three of them. */
const WAITING_JOBS = 10

/** Puts jobs on record whose only task has begun and waits for its second run; the last ones wait in the store after a takeover. */
function putStartedJobs (rig: CellRig): string[] {
  const [route] = rig.nodes[0]!.cell.configuration!.routes
  return Array.from({ length: WAITING_JOBS }, (_, index) => {
    const id = (0xf000 + index).toString(16).padStart(16, '0')
    rig.tables.put(submissionRowName(id), encodeSubmission(createJob(id, route!, { spec: 'x', steps: [stepOf({})] }, index)))
    rig.tables.put(recordRowName(id), JSON.stringify({ phase: 'open', tasks: [[[[1, '', 0, 0, '', 0, [], 1]]]] }))
    return id
  })
}

interface Takeover {
  rig: CellRig
  worker: FakeWorker
  /** Job whose run is on record. */
  running: string
  /** Job that waits in the store. */
  deferred: string
  successor: RigNode
}

/**
 * Kills the decider after a worker has ended the first run of a job that its successor leaves in the store, and then a run that is on record.
 *
 * @param options - `readDelay`: ms by which each read of submissions takes longer
 */
async function takeOver ({ readDelay = 0 } = {}): Promise<Takeover> {
  const rig = await createSteadyRig({ workers: 1, cpu: 100_000, limits: { openJobBytes: 8 * JOB_WEIGHT }, behaviour: () => ({ duration: 20_000, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
  const { id: running } = await rig.submit(rig.nodes[0]!, [{}])
  const worker = rig.fleet.workers.get('w0')!
  await rig.until(() => worker.running.size === 1)
  await rig.run(500)
  rig.kill(rig.decider!)
  const deferred = putStartedJobs(rig).at(-1)!
  worker.running.delete(`${running}.0.0.0`)
  for (const id of [deferred, running]) worker.ended.push({ number: worker.nextEnd++, task: `${id}.0.0.0`, run: 1, ending: 'done', checkpoint: '' })
  for (const { store } of rig.nodes) store.readDelays.set('jobs', readDelay)
  await rig.until(() => rig.decider !== undefined)
  return { rig, worker, running, deferred, successor: rig.decider! }
}

function startsOf (rig: CellRig, id: string): number {
  return rig.fleet.starts.get(`${id}.0.0.0`) ?? 0
}

describe('an end of a job that waits in the store', () => {
  // Guards against a task that has ended as done and is started again, because its end is listed behind one that can't be handled yet.
  test('does not hide the ends behind it, whose runs are not taken for lost', async () => {
    const { rig, running } = await takeOver()
    await rig.run(3000)
    expect([await rig.phase(rig.decider!, running), startsOf(rig, running)]).toEqual(['completed', 1])
  })

  test('completes its task once the job is loaded, with no further run', async () => {
    const { rig, deferred, worker } = await takeOver({ readDelay: 300 })
    await rig.run(3000)
    expect([await rig.phase(rig.decider!, deferred), startsOf(rig, deferred), worker.ended]).toEqual(['completed', 0, []])
  })

  // Guards against a task that is placed between the load of its job and the next list, although its worker has listed it as done.
  test('is handled by the load itself, and once', () => {
    const registry = new Registry()
    const worker = registry.ensureWorker({ id: 'w0', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 9000, memory: 9000, accelerators: 0 }, labels: [], born: 1 })
    const handled: string[] = []
    const lifecycle = { handleFormerCompletion: ({ name }: Task) => { handled.push(name) } } as unknown as TaskLifecycle
    const ends = new WorkerEnds({ registry, clock: new FakeClock(), speeds: new WorkerSpeeds(), lifecycle: () => lifecycle, loadDeferred: id => !registry.jobs.has(id), recordTask: (_task, then) => { then() }, onRecorded: () => {} })
    const list = { ended: [{ number: 1, task: 'a.0.0.0', run: 1, ending: 'done' as const, checkpoint: '' }, { number: 2, task: 'b.0.0.0', run: 1, ending: 'done' as const, checkpoint: '' }] }
    const add = (id: string): void => { registry.addJob({ id, route: 'r', spec: '', steps: [stepOf({})], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 }) }
    add('b')
    ends.handle(worker, list)
    expect([handled, acknowledgedEnd(worker)]).toEqual([['b.0.0.0'], 0])
    add('a')
    ends.handleLoaded('a')
    ends.handle(worker, list)
    expect([handled, acknowledgedEnd(worker)]).toEqual([['b.0.0.0', 'a.0.0.0'], 2])
  })

  // Guards against an end that is forgotten: it must be listed until the state of its task is on record.
  test('is not acknowledged before it is on record, while those behind it wait with it', async () => {
    const { rig, deferred, running, worker, successor } = await takeOver({ readDelay: 300 })
    await rig.run(200)
    expect(worker.ended.map(({ task }) => task)).toEqual([`${deferred}.0.0.0`, `${running}.0.0.0`])
    rig.kill(successor)
    await rig.until(() => rig.decider !== undefined)
    await rig.run(3000)
    expect([await rig.phases([deferred, running]), startsOf(rig, deferred), startsOf(rig, running), worker.ended]).toEqual([['completed', 'completed'], 0, 1, []])
  })

  // Guards against acknowledgements that stop for good.
  test('is acknowledged if the job is not on record any more', async () => {
    const { rig, deferred, worker } = await takeOver()
    rig.tables.drop(submissionRowName(deferred))
    rig.tables.drop(recordRowName(deferred))
    await rig.run(3000)
    expect([startsOf(rig, deferred), worker.ended]).toEqual([0, []])
  })
})
