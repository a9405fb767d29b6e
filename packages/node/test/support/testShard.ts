import { test } from 'node:test'
import { expect } from 'earl'
import { nameCase, pairCases, singleCases } from './cases.js'
import { runCase } from './runCase.js'

/** Number of files that the cases are spread over, so that they run beside each other. */
const SHARDS = 8

/**
 * Makes a test of each case of one shard. The environment variable `RATTANSTEP_CASE` picks the cases whose name
 * contains it, such as `seed 1017`.
 *
 * @param shard - from 0 to `SHARDS - 1`
 */
export function testShard (shard: number): void {
  const wanted = process.env.RATTANSTEP_CASE ?? ''
  const cases = [...singleCases(), ...pairCases()].filter((_, number) => number % SHARDS === shard)
  for (const options of cases) {
    const name = nameCase(options)
    if (!name.includes(wanted)) continue
    const isPair = options.blows.length > 1
    test(`nothing breaks after ${name}`, async () => {
      const { breaches, struck } = await runCase(options)
      expect(breaches).toEqual([])
      // The first of two faults may keep the step of the second from happening.
      expect(struck >= 1 && (isPair || struck === 1)).toEqual(true)
    })
  }
}
