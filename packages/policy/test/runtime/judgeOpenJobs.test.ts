import { describe, test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@rattanstep/core'
import { exceedsOpenJobLimit, judgeOpenJobs } from '../../src/index.js'
import type { OpenJobReport } from '../../src/index.js'

const LIMIT = 1000
const random = new SeededRandom(1)

/** Submits jobs of a weight in turn for the holders until each is refused; returns the weights that they hold. */
function fill (holders: string[], weight: number): number[] {
  const held = new Map(holders.map(holder => [holder, 0]))
  let isAccepted = true
  while (isAccepted) {
    isAccepted = false
    for (const holder of holders) {
      const used = [...held.values()].reduce((sum, each) => sum + each, 0)
      const report: OpenJobReport = { used, limit: LIMIT, rate: 0, holders: [...held].map(([holder, used]) => ({ holder, used })) }
      if (judgeOpenJobs({ weight, holder }, report, { accepted: { total: 0, ofHolder: 0 }, random }) !== undefined) continue
      held.set(holder, held.get(holder)! + weight)
      isAccepted = true
    }
  }
  return [...held.values()]
}

// Guards against a crowd of small jobs that takes all room, so that the jobs of others are refused too.
describe('a crowd of one holder', () => {
  test('gets half of the budget, and leaves room for others', () => {
    expect(fill(['a'], 10)).toEqual([500])
    expect(fill(['a', 'b'], 10)).toEqual([330, 330])
  })

  test('is refused with the time in which enough jobs will have ended, spread over callers', () => {
    const report = { used: 500, limit: LIMIT, rate: 10, holders: [{ holder: 'a', used: 500 }] }
    const times = Array.from({ length: 100 }, () => judgeOpenJobs({ weight: 50, holder: 'a' }, report, { accepted: { total: 0, ofHolder: 0 }, random })!.retryAfter)
    // 100 bytes too many, and each ended byte counts twice: 5 s, and up to half of it more.
    expect([Math.min(...times), Math.max(...times)]).toEqual([6, 8])
    expect(judgeOpenJobs({ weight: 50, holder: 'b' }, report, { accepted: { total: 0, ofHolder: 0 }, random })).toEqual(undefined)
  })

  test('is refused for at most 45 s if nothing ends', () => {
    const report = { used: 900, limit: LIMIT, rate: 0, holders: [] }
    const { retryAfter } = judgeOpenJobs({ weight: 100, holder: 'a' }, report, { accepted: { total: 0, ofHolder: 0 }, random })!
    expect(retryAfter >= 30 && retryAfter <= 45).toEqual(true)
  })

  test('is counted by what a node has accepted since the report', () => {
    const report = { used: 200, limit: LIMIT, rate: 0, holders: [] }
    const judge = (total: number, ofHolder: number): boolean => judgeOpenJobs({ weight: 10, holder: 'a' }, report, { accepted: { total, ofHolder }, random }) === undefined
    expect([judge(390, 390), judge(400, 400), judge(400, 0)]).toEqual([true, false, true])
  })
})

test('a job that weighs more than half of the budget is never accepted', () => {
  expect([exceedsOpenJobLimit(500, LIMIT), exceedsOpenJobLimit(501, LIMIT)]).toEqual([false, true])
})
