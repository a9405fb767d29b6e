import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { Registry } from '../../src/runtime/Registry.js'
import { applyRecord, encodeJobRecord } from '../../src/runtime/jobRecord.js'
import type { JobRecord } from '../../src/runtime/jobRecord.js'
import type { Crash, JobState, Task } from '../../src/runtime/model.js'
import { WorkerCallDecoder, WorkerCallEncoder } from '../../src/runtime/WorkerCallCodec.js'
import type { NumberedCall } from '../../src/runtime/WorkerCallCodec.js'
import type { DeciderMessage, WorkerTarget } from '../../src/index.js'
import { stepOf } from '../support/CellRig.js'

const FENCE = 7
const SEED = 20261205

const worker = fc.record<WorkerTarget>({ id: fc.constantFrom('w0', 'w1', 'w2'), address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:80'), born: fc.integer({ min: 1, max: 2 }), dataCentre: fc.constant('d') })
/** Fencing tokens of the present and of the next incarnation of a worker. */
const fence = fc.constantFrom(FENCE, FENCE + 1)
const task = fc.constantFrom('5c0e7a21d94b36f8.0.1.17', '5c0e7a21d94b36f8.0.1.18')
const call = fc.oneof(
  fc.record({ kind: fc.constant('poll' as const), worker, order: fc.record({ fence, acknowledged: fc.nat(), wait: fc.nat(), leaseEnd: fc.nat() }, { requiredKeys: ['fence', 'acknowledged', 'wait'] }) }),
  fc.record({ kind: fc.constant('stop' as const), worker, order: fc.record({ task, run: fc.nat(), fence }) }),
  fc.record({ kind: fc.constant('start' as const), worker, order: fc.record({ task, run: fc.nat(), spec: fc.string(), leaseEnd: fc.nat(), fence, checkpoint: fc.string(), ticket: fc.string() }, { requiredKeys: ['task', 'run', 'spec', 'leaseEnd', 'fence', 'checkpoint'] }) }))

describe('calls to workers on a link', () => {
  test('are the same after the transfer, whatever was sent before', () => {
    fc.assert(fc.property(fc.array(fc.array(call, { minLength: 1 })), messages => {
      const encoder = new WorkerCallEncoder()
      const decoder = new WorkerCallDecoder()
      let number = 0
      for (const orders of messages) {
        const calls: NumberedCall[] = orders.map(order => ({ call: number++, order }))
        const message = JSON.parse(JSON.stringify(encoder.encode(FENCE, calls))) as Extract<DeciderMessage, { kind: 'execute' }>
        // Some of the drawn objects have no prototype.
        expect(decoder.decode(message)).toEqual(JSON.parse(JSON.stringify(calls)) as NumberedCall[])
      }
    }), { seed: SEED, numRuns: 200 })
  })

  test('describe a worker once, and carry the text of a job once in a message', () => {
    const encoder = new WorkerCallEncoder()
    const target = { id: 'w0', address: '10.0.0.1:80', born: 1, dataCentre: 'd' }
    const start = (index: number): NumberedCall => ({ call: index, order: { kind: 'start', worker: target, order: { task: `5c0e7a21d94b36f8.0.0.${index}`, run: 1, spec: 'x'.repeat(1000), leaseEnd: 5000, fence: FENCE, checkpoint: '' } } })
    encoder.encode(FENCE, [start(0)])
    expect(JSON.stringify(encoder.encode(FENCE, [start(1), start(2), start(3)])).length).toBeLessThan(1250)
  })
})

/** @returns a job with a step of three tasks and a lone one */
function createJob (): { registry: Registry, state: JobState } {
  const registry = new Registry()
  for (const id of ['w0', 'w1']) registry.ensureWorker({ id, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 9000, memory: 9000, accelerators: 0 }, labels: [], born: 1 })
  return { registry, state: registry.addJob({ id: 'a', route: 'r', spec: '', steps: [stepOf({ count: 3 }), stepOf({ after: [0] })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 }) }
}

function summarize ({ phase, run, begunRun, failures, checkpoint, worker, incarnation, crashes }: Task): unknown[] {
  return phase === 'done' ? ['done'] : [run, begunRun, failures, checkpoint, crashes, worker === undefined ? 0 : incarnation]
}

const crash = fc.record<Crash>({ worker: fc.constantFrom('w0', 'w1'), incarnation: fc.nat(100_000), run: fc.nat(3), certainty: fc.constantFrom('possible', 'presumed', 'confirmed', 'excused'), isAlone: fc.boolean() }, { noNullPrototype: true })

describe('the record of a job', () => {
  test('restores the state of every task', () => {
    const taskState = fc.record({ kind: fc.constantFrom('waiting', 'running', 'done'), run: fc.nat(3), begunRun: fc.nat(3), worker: fc.constantFrom('w0', 'w1'), failures: fc.nat(2), checkpoint: fc.constantFrom('', 'saved'), incarnation: fc.nat(100_000), crashes: fc.array(crash, { maxLength: 3 }) })
    fc.assert(fc.property(fc.array(taskState, { minLength: 4, maxLength: 4 }), states => {
      const { registry, state } = createJob()
      const tasks = state.occurrences[0]!.steps.flatMap(step => [...step.tasks])
      tasks.forEach((each, index) => {
        const { kind, run, begunRun, worker: id, failures, checkpoint, incarnation, crashes } = states[index]!
        if (kind === 'waiting' && run === 0) return
        Object.assign(each, { run: run + 1, begunRun, failures, checkpoint, incarnation, crashes, phase: kind === 'done' ? 'done' : kind })
        if (kind === 'running') registry.assign(each, registry.workers.get(id)!)
      })
      const restored = createJob()
      const runs = applyRecord(restored.registry, restored.state, JSON.parse(encodeJobRecord(state, 0)) as JobRecord)
      for (const run of runs) restored.registry.assign(run.task, restored.registry.workers.get(run.worker)!)
      expect(restored.state.occurrences[0]!.steps.flatMap(step => [...step.tasks]).map(summarize)).toEqual(tasks.map(summarize))
      expect(runs.map(each => [each.task.name, each.worker])).toEqual(tasks.flatMap((each, index) => states[index]!.kind === 'running' ? [[each.name, each.worker!.report.id]] : []))
    }), { seed: SEED, numRuns: 200 })
  })

  test('of an earlier version is read', () => {
    const { registry, state } = createJob()
    const runs = applyRecord(registry, state, { phase: 'open', tasks: [[[[1, '', 0, 1, ''], [2, 'w1', 1, 0, 'saved'], [0, '', 0, 0, '']], [[0, '', 0, 0, '']]]] })
    const [done, running, waiting] = state.occurrences[0]!.steps[0]!.tasks
    expect([done!.phase, running!.run, running!.checkpoint, waiting!.run]).toEqual(['done', 2, 'saved', 0])
    expect(runs.map(each => [each.task.name, each.worker])).toEqual([['a.0.0.1', 'w1']])
  })

  test('of a wide step takes few characters for tasks that wait or are done', () => {
    const registry = new Registry()
    const state = registry.addJob({ id: 'a', route: 'r', spec: '', steps: [stepOf({ count: 100 })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
    ;[...state.occurrences[0]!.steps[0]!.tasks].forEach((each, index) => { if (index % 2 === 0) Object.assign(each, { phase: 'done', run: 1 }) })
    expect(encodeJobRecord(state, 0).length).toBeLessThan(250)
  })
})
