import { test } from 'node:test'
import { expect } from 'earl'
import { nameCase, pairCases, singleCases } from './cases.js'
import { runCase } from './runCase.js'

/** Number of test files that the cases are divided among, so that they run in parallel. */
const SHARD_COUNT = 8

/**
 * Defines a test for each case of one shard. The environment variable `RATTANSTEP_CASE` selects the cases whose name
 * contains it, such as `seed 1017`.
 *
 * @param shard - from 0 to `SHARDS - 1`
 */
export function testShard (shard: number): void {
  const filter = process.env.RATTANSTEP_CASE ?? ''
  const cases = [...singleCases(), ...pairCases()].filter((_, number) => number % SHARD_COUNT === shard)
  for (const matrixCase of cases) {
    const name = nameCase(matrixCase)
    if (!name.includes(filter)) continue
    const isPair = matrixCase.injections.length > 1
    test(`no invariant is violated after ${name}`, async () => {
      const { violations, injectedCount } = await runCase(matrixCase)
      expect(violations).toEqual([])
      // The first of two faults may prevent the step of the second.
      expect(injectedCount >= 1 && (isPair || injectedCount === 1)).toEqual(true)
    })
  }
}
