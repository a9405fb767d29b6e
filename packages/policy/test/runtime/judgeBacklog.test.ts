import { describe, test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@rattanstep/core'
import { judgeBacklog, MAX_BACKLOG_AGE_MS } from '../../src/index.js'
import type { BacklogReport, OfferedJob } from '../../src/index.js'

const REPORT: BacklogReport = { waiting: [0, 0, 100_000], rate: 1000, leastUrgent: 2, beyondRate: [] }
const JOB: OfferedJob = { priority: 2, organisation: 'o', duration: 3000, usefulFor: 40_000 }

function judge (job: Partial<OfferedJob> = {}, report: Partial<BacklogReport> | undefined = {}, age = 100): ReturnType<typeof judgeBacklog> {
  return judgeBacklog({ ...JOB, ...job }, report === undefined ? undefined : { ...REPORT, ...report }, { age, random: new SeededRandom(1) })
}

describe('a job that is offered behind a backlog', () => {
  test('is refused if it would end too late to be of use', () => {
    // Guards against work that is done for nobody: 100,000 core-seconds at 1,000 cores, and 3 s of its own.
    const refusal = judge()
    expect(refusal?.projected).toEqual(103_000)
    expect(refusal!.retryAfter >= 30 && refusal!.retryAfter <= 45).toEqual(true)
  })

  test('is accepted if it would end late and still be of some use', () => {
    // Guards against refusals that earn less than a late result.
    expect(judge({}, { waiting: [0, 0, 50_000] })).toEqual(undefined)
  })

  test('is accepted without a recent report', () => {
    // Guards against refusals by what a lost or slow decider has once reported.
    expect(judgeBacklog(JOB, undefined, { age: 0, random: new SeededRandom(1) })).toEqual(undefined)
    expect(judge({}, {}, MAX_BACKLOG_AGE_MS + 1)).toEqual(undefined)
    expect(judge({}, { rate: 0 })).toEqual(undefined)
  })

  test('is accepted if it is urgent, whatever others have submitted', () => {
    // Guards against urgent work that is refused because of the wide batches of others.
    expect(judge({ priority: 0 }, { waiting: [100_000, 0, 100_000] })).toEqual(undefined)
    expect(judge({ priority: 1 }, { waiting: [0, 100_000, 100_000] })).toEqual(undefined)
    expect(judge({ priority: 0 }, { waiting: [100_000], leastUrgent: 0 })).toEqual(undefined)
  })

  test('is refused behind the whole backlog if its organisation is far beyond its rate', () => {
    // Guards against a burst of one organisation that delays the others.
    expect(judge({ priority: 1 }, { beyondRate: [{ organisation: 'o', waiting: 1 }] })).not.toEqual(undefined)
    expect(judge({ priority: 1, organisation: 'p' }, { beyondRate: [{ organisation: 'o', waiting: 1 }] })).toEqual(undefined)
  })

  test('comes back at different times', () => {
    // Guards against callers that all return together.
    const random = new SeededRandom(2)
    const times = Array.from({ length: 20 }, () => judgeBacklog(JOB, REPORT, { age: 0, random })!.retryAfter)
    expect(new Set(times).size > 5).toEqual(true)
  })
})
