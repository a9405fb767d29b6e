import { test } from 'node:test'
import { expect } from 'earl'
import type { Resources } from '@rattanstep/core'
import { packTasks, planGang, planPreemption } from '../../src/index.js'
import type { BusyWorker, PreemptionStep, RunningTask } from '../../src/index.js'
import type { ResolvedClass } from '@rattanstep/rules'

const TOTAL: Resources = { slots: 4, cores: 8, memory: 8000, accelerators: 0 }
const MEMBER: Resources = { slots: 2, cores: 4, memory: 1000, accelerators: 0 }

function createWorker (id: string, running: RunningTask[] = []): BusyWorker {
  const used = running.length
  const free = { slots: 4 - 2 * used, cores: 8 - 4 * used, memory: 8000 - 1000 * used, accelerators: 0 }
  return { id, total: TOTAL, free, rack: `rack-${id}`, running }
}

function createTask (id: string, changes: Partial<RunningTask> = {}): RunningTask {
  return { id, priority: 10, resources: MEMBER, speed: 1, checkpoints: false, checkpointTime: 500, lost: 1000, ...changes }
}

test('a task is placed on the fullest worker that it fits', () => {
  const placements = packTasks({ tasks: [MEMBER], workers: [createWorker('a'), createWorker('b', [createTask('x')])] })
  expect(placements).toEqual([{ index: 0, worker: 'b' }])
})

test('no more tasks than allowed are placed in one rack', () => {
  const placements = packTasks({ tasks: [MEMBER, MEMBER], workers: [createWorker('a'), createWorker('b')], maxPerRack: 1 })
  expect(placements.map(({ worker }) => worker)).toEqual(['a', 'b'])
})

test('a gang is placed as a whole, in the order of workers', () => {
  const placements = planGang({ tasks: [MEMBER, MEMBER, MEMBER], workers: [createWorker('b'), createWorker('a')] })
  expect(placements?.map(({ worker }) => worker)).toEqual(['a', 'b', 'b'])
})

test('a gang is not placed when one member does not fit', () => {
  expect(planGang({ tasks: Array(5).fill(MEMBER), workers: [createWorker('a'), createWorker('b')] })).toEqual(null)
})

const createFullWorker = (changes: Partial<RunningTask>): BusyWorker => createWorker('a', [createTask('x', changes), createTask('y', changes)])

const CASES: Array<{ title: string, preempts: ResolvedClass['preempts'], worker: BusyWorker, need: Resources, steps: Array<PreemptionStep['kind']> | null }> = [
  { title: 'no plan is made for work that may not preempt when no capacity is free', preempts: 'nothing', worker: createFullWorker({}), need: MEMBER, steps: null },
  { title: 'free capacity is used without preemption', preempts: 'stop', worker: createWorker('a', [createTask('x')]), need: MEMBER, steps: [] },
  { title: 'one of two tasks is stopped when that is enough', preempts: 'stop', worker: createFullWorker({}), need: MEMBER, steps: ['stop'] },
  { title: 'a checkpoint is preferred to a stop', preempts: 'stop', worker: createFullWorker({ checkpoints: true }), need: MEMBER, steps: ['checkpoint'] },
  { title: 'a checkpoint that takes too long is not used', preempts: 'checkpoint', worker: createFullWorker({ checkpoints: true, checkpointTime: 1400 }), need: MEMBER, steps: null },
  { title: 'work of the same or higher priority is not preempted', preempts: 'stop', worker: createFullWorker({ priority: 90 }), need: MEMBER, steps: null },
  { title: 'throttling is enough when only cores are missing', preempts: 'stop', worker: { ...createFullWorker({}), free: { slots: 1, cores: 0, memory: 1000, accelerators: 0 } }, need: { slots: 1, cores: 2, memory: 100, accelerators: 0 }, steps: ['throttle'] }
]

for (const { title, preempts, worker, need, steps } of CASES) {
  test(title, () => {
    const plan = planPreemption({ tasks: [need], priority: 90, preempts, workers: [worker] })
    expect(plan === null ? null : plan.steps.map(step => step.kind)).toEqual(steps)
  })
}

test('a gang preempts on as many workers as it needs', () => {
  const workers = [createWorker('a', [createTask('x'), createTask('y')]), createWorker('b', [createTask('z'), createTask('u')])]
  const plan = planPreemption({ tasks: Array(3).fill(MEMBER), priority: 90, preempts: 'stop', workers })
  expect(plan?.steps.length).toEqual(3)
  expect(plan?.placements.length).toEqual(3)
})

test('a plan is found where only the last of many workers can be preempted', () => {
  const workers = Array.from({ length: 300 }, (_, index) => ({ ...createFullWorker({ priority: index === 299 ? 10 : 95 }), id: `w${index}` }))
  const plan = planPreemption({ tasks: [MEMBER], priority: 90, preempts: 'stop', workers })
  expect(plan?.placements).toEqual([{ index: 0, worker: 'w299' }])
})
