import { describe, test } from 'node:test'
import { expect } from 'earl'
import { runRandomFaults } from '../support/randomFaults.js'

/** Seeds that failed once, each with its cause. */
const REGRESSIONS: Array<[number, string]> = []
/** Seeds played in CI; `RATTANSTEP_SEEDS=FROM-TO` plays others. */
const [first, last] = (process.env.RATTANSTEP_SEEDS ?? '1-12').split('-').map(Number) as [number, number]

describe('drawn faults', () => {
  const seeds = [...REGRESSIONS.map(([seed]) => seed), ...Array.from({ length: last - first + 1 }, (_, index) => first + index)]
  for (const seed of seeds) {
    test(`of seed ${seed} break no promise`, async () => {
      const { violations: breaches, unfinished, startedThoughRefused: falselyRefused, faults } = await runRandomFaults(seed)
      expect({ seed, breaches, unfinished, falselyRefused, faults: breaches.length + unfinished.length + falselyRefused.length === 0 ? [] : faults })
        .toEqual({ seed, breaches: [], unfinished: [], falselyRefused: [], faults: [] })
    })
  }
})
