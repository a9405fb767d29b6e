import { describe, test } from 'node:test'
import { expect } from 'earl'
import { findRowProblem } from '../../src/runtime/findRowProblem.js'
import { encodeSubmission } from '../../src/runtime/submissionRow.js'
import type { Job } from '../../src/index.js'
import { stepOf } from '../support/CellRig.js'

const ROW_BYTES = 65_536

function jobOf (changes: Partial<Job>): Job {
  return { id: '0123456789abcdef', route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1, ...changes }
}

// Guards against jobs that the store refuses to hold: they were answered 503 again and again, and written through the decider too.
describe('a job that is too large for a row', () => {
  test('is found if it has too many steps, dependencies or characters', () => {
    expect(findRowProblem(jobOf({ steps: Array.from({ length: 4000 }, () => stepOf({})) }), ROW_BYTES)).toEqual(expect.a(String))
    expect(findRowProblem(jobOf({ steps: [stepOf({ after: Array.from({ length: 40_000 }, () => 0) })] }), ROW_BYTES)).toEqual(expect.a(String))
    expect(findRowProblem(jobOf({ steps: [stepOf({ label: 'x'.repeat(70_000) })] }), ROW_BYTES)).toEqual(expect.a(String))
    expect(findRowProblem(jobOf({ spec: '\u0001'.repeat(11_000) }), ROW_BYTES)).toEqual(expect.a(String))
  })

  test('is told apart from one that just fits', () => {
    const job = jobOf({ steps: Array.from({ length: 300 }, () => stepOf({})) })
    const bytes = Buffer.byteLength(encodeSubmission(job))
    expect([findRowProblem(job, bytes), findRowProblem(job, bytes - 1) === undefined]).toEqual([undefined, false])
  })

  test('is not a job with the longest text that the platform allows', () => {
    expect(findRowProblem(jobOf({ spec: '\u0001'.repeat(4000) }), ROW_BYTES)).toEqual(undefined)
  })
})
