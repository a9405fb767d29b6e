import { describe, test } from 'node:test'
import { expect } from 'earl'
import { runRandomFaults } from '../support/randomFaults.js'

/** Seeds that failed in the past, each with the cause. */
const REGRESSIONS: Array<[number, string]> = []
/** Range of seeds that CI runs; `RATTANSTEP_SEEDS=FROM-TO` selects another range. */
const [first, last] = (process.env.RATTANSTEP_SEEDS ?? '1-12').split('-').map(Number) as [number, number]

// Guards against tasks that are lost, run twice or overload a worker after combinations of faults: while jobs are submitted, random faults
// hit nodes, links, the store and workers.
describe('random faults', () => {
  const seeds = [...REGRESSIONS.map(([seed]) => seed), ...Array.from({ length: last - first + 1 }, (_, index) => first + index)]
  for (const seed of seeds) {
    test(`of seed ${seed} violate no guarantee`, async () => {
      const { violations, unfinished, startedThoughRefused, faults } = await runRandomFaults(seed)
      expect({ seed, violations, unfinished, startedThoughRefused, faults: violations.length + unfinished.length + startedThoughRefused.length === 0 ? [] : faults })
        .toEqual({ seed, violations: [], unfinished: [], startedThoughRefused: [], faults: [] })
    })
  }
})
