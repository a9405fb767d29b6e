import { describe, test } from 'node:test'
import { expect } from 'earl'
import { findSubmissionProblem, MAX_TASKS } from '../../src/runtime/findSubmissionProblem.js'
import type { Step } from '../../src/index.js'
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
