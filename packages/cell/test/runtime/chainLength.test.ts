import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { chainLength } from '../../src/runtime/chainLength.js'
import type { Step } from '../../src/types/job.js'
import { stepOf } from '../support/CellRig.js'

/** @returns the length of the longest chain, by its definition */
function searchLongest (steps: Step[], from: number, perStep: number): number {
  const lengthTo = (index: number): number => steps[index]!.estimate + perStep + Math.max(0, ...steps[index]!.after.filter(earlier => earlier >= from).map(lengthTo))
  return Math.max(0, ...steps.map((_, index) => index < from ? 0 : lengthTo(index)))
}

describe('the longest chain of a job', () => {
  test('is that of its definition, for each first step and delay', () => {
    const step = fc.record({ estimate: fc.nat(1000), after: fc.array(fc.nat(9), { maxLength: 3 }) })
    fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 10 }), fc.nat(100), (drawn, perStep) => {
      const steps = drawn.map(({ estimate, after }, index) => stepOf({ estimate, after: after.filter(earlier => earlier < index) }))
      for (let from = 0; from <= steps.length; from++) {
        for (const delay of [perStep, 0]) expect(chainLength(steps, from, delay)).toEqual(searchLongest(steps, from, delay))
      }
    }), { seed: 45, numRuns: 200 })
  })

  // Guards against time that grows with the square of the steps, and against a stack that is used up by a step that names very many earlier ones.
  test('is computed once for a job of 10,000 steps, one of which depends on all others', () => {
    let reads = 0
    const steps = Array.from({ length: 10_000 }, (_, index) => {
      const step = stepOf({ after: index === 9999 ? Array.from({ length: 200_000 }, (_, earlier) => earlier % 9999) : [] })
      return Object.defineProperty(step, 'estimate', { get: () => { reads++; return 1 } })
    })
    for (let from = 0; from < steps.length; from++) expect(chainLength(steps, from)).toEqual(from === 9999 ? 1 : 2)
    expect(reads).toBeLessThanOrEqual(20_000)
  })
})
