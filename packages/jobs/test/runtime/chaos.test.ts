import { test } from 'node:test'
import { expect } from 'earl'
import { runChaos } from './chaos.js'

/**
 * Guards against tasks that are lost, run twice or never end when faults of the table, the nodes, the workers and the network
 * coincide. Each seed determines one run of a simulated cell with its jobs and faults.
 */

/** Seed of a single run to replay; unset for all runs. */
const SEED = Number(process.env.JOBS_SEED ?? NaN)
const SEED_COUNT = Number(process.env.JOBS_CASES ?? 300)
const SEEDS_PER_TEST = 50

const seeds = Number.isNaN(SEED) ? Array.from({ length: SEED_COUNT }, (_, number) => number + 1) : [SEED]

for (let from = 0; from < seeds.length; from += SEEDS_PER_TEST) {
  const group = seeds.slice(from, from + SEEDS_PER_TEST)
  test(`no invariant is violated and every task ends under random faults, seeds ${group[0]} to ${group.at(-1)}`, async () => {
    const failures: string[] = []
    for (const seed of group) {
      const report = await runChaos(seed)
      for (const problem of [...report.violations, ...report.unfinished]) failures.push(`JOBS_SEED=${seed}: ${problem}`)
    }
    expect(failures).toEqual([])
  })
}
