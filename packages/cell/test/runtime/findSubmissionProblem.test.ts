import { describe, test } from 'node:test'
import { expect } from 'earl'
import { findSubmissionProblem, MAX_TASKS } from '../../src/runtime/findSubmissionProblem.js'
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
})
