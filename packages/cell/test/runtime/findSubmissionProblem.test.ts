import { describe, test } from 'node:test'
import { expect } from 'earl'
import { findSubmissionProblem, MAX_GANG_TASKS, MAX_TASKS } from '../../src/runtime/findSubmissionProblem.js'
import { DEFAULT_STORE_LIMITS } from '../../src/index.js'
import type { Step } from '../../src/index.js'
import { encodeJobRecord } from '../../src/runtime/jobRecord.js'
import { Registry } from '../../src/runtime/Registry.js'
import { stepOf } from '../support/CellRig.js'

const REPEAT = { count: 10_080, first: 0, interval: 60_000 }

// Guards against a job that is accepted and then ends one decider after the other, since none can hold it in memory.
describe('a submission', () => {
  for (const [title, submission, problem] of [
    ['of as many tasks as a decider can hold is served', { steps: [stepOf({ count: MAX_TASKS - 1 }), stepOf({})] }, undefined],
    ['of more tasks is refused, with their number', { steps: [stepOf({ count: MAX_TASKS }), stepOf({})] }, 'the steps have 10001 tasks, more than 10000'],
    ['with many occurrences is served', { steps: [stepOf({})], repeat: { ...REPEAT, count: 300_000 } }, undefined],
    ['with half an occurrence is refused', { steps: [stepOf({})], repeat: { ...REPEAT, count: 2.5 } }, 'the number of occurrences, 2.5, is not a whole number'],
    ['with occurrences that are due in reverse order is refused', { steps: [stepOf({})], repeat: { ...REPEAT, interval: -1 } }, 'the interval between occurrences, -1 ms, is negative']
  ] as const) {
    test(title, () => {
      expect(findSubmissionProblem({ spec: '', ...submission, steps: [...submission.steps] })).toEqual(problem)
    })
  }

  // Guards against a gang that is accepted and whose record the store then rejects, so that it never starts.
  test('of a gang is refused if its record could exceed a transaction', () => {
    const problemOf = (count: number): string | undefined => findSubmissionProblem({ spec: '', steps: [stepOf({ count, gang: true }), stepOf({ count: 5000 })] })
    expect([problemOf(MAX_GANG_TASKS), problemOf(MAX_GANG_TASKS + 1)]).toEqual([undefined, `the gangs have ${MAX_GANG_TASKS + 1} tasks, more than ${MAX_GANG_TASKS}`])
    const registry = new Registry()
    const job = registry.addJob({ id: '0123456789abcdef', route: 'r', spec: '', steps: [stepOf({ count: MAX_GANG_TASKS, gang: true })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
    const worker = registry.ensureWorker({ id: 'worker-0000000001', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 0, memory: 0, accelerators: 0 }, labels: [], born: 1 })
    const crash = { worker: 'worker-0000000001', incarnation: 999_999_999, run: 2, certainty: 'confirmed', isAlone: true } as const
    for (const task of job.occurrences[0]!.steps[0]!.tasks) {
      Object.assign(task, { phase: 'running', run: 3, begunRun: 3, failures: 1, incarnation: 999_999_999, checkpoint: '00000bb87a21d94b', crashes: [crash, crash] })
      registry.assign(task, worker)
    }
    expect(Buffer.byteLength(encodeJobRecord(job, 0)) < DEFAULT_STORE_LIMITS.transactionBytes).toEqual(true)
  })

  // Guards against a job that is accepted and never runs, and against the refusal of a wide step, which runs in waves.
  test('of an organisation is refused if a gang or a single task can never fit under the cap', () => {
    const cap = { cpu: 5000, memory: 0, accelerators: 0 }
    const problemOf = (step: Partial<Step>): string | undefined => findSubmissionProblem({ spec: '', steps: [stepOf({}), stepOf(step)] }, { weight: 1, cap })
    const limit = 'more than the cap of the organisation, 5000 thousandths of a core, 0 MB and 0 accelerators (0: no limit)'
    expect(problemOf({ count: 6 })).toEqual(undefined)
    expect(problemOf({ count: 5, gang: true })).toEqual(undefined)
    expect(problemOf({ count: 6, gang: true })).toEqual(`step 1 can never run: its tasks together need ${limit}`)
    expect(problemOf({ size: { cpu: 5001, memory: 0, accelerators: 0 } })).toEqual(`step 1 can never run: one of its tasks needs ${limit}`)
  })
})
