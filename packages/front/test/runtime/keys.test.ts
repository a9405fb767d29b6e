import { test } from 'node:test'
import { expect } from 'earl'
import { KeySimulation } from './KeySimulation.js'
import type { SimulationOptions } from './KeySimulation.js'

/**
 * Guards against a request with a key running twice because a home lost, mixed up or missed a claim while shards moved.
 * To run a single case again: `RATTANSTEP_SEED=n node --test packages/front/dist/test/runtime/keys.test.js`.
 * `RATTANSTEP_CASES=n` sets the number of cases, with consecutive seeds starting at that seed.
 */
const SEED = process.env['RATTANSTEP_SEED']

const CASES = Number(process.env['RATTANSTEP_CASES'] ?? (SEED === undefined ? 250 : 1))

const FAULTS: Array<{ name: string } & Omit<SimulationOptions, 'seed' | 'duration'>> = [
  { name: 'planned moves', loss: 0, repeats: 0, late: 0, takeovers: false, moves: true },
  { name: 'planned moves and lost, repeated and late messages', loss: 0.15, repeats: 0.2, late: 0.2, takeovers: false, moves: true },
  { name: 'takeovers and lost, repeated and late messages', loss: 0.15, repeats: 0.2, late: 0.2, takeovers: true, moves: false },
  { name: 'moves, takeovers and lost, repeated and late messages', loss: 0.2, repeats: 0.3, late: 0.3, takeovers: true, moves: true },
  { name: 'moves, takeovers and messages that are mostly lost, repeated or late', loss: 0.4, repeats: 0.4, late: 0.5, takeovers: true, moves: true }
]

for (const { name, ...faults } of FAULTS) {
  test(`a key runs at most once through ${name}`, async context => {
    const totals: Record<string, number> = {}
    const count = (what: string, amount: number): void => { totals[what] = (totals[what] ?? 0) + amount }
    const seeds = Array.from({ length: CASES }, (_, index) => Number(SEED ?? 1) + index)
    const repeatedRuns: string[] = []
    for (const seed of seeds) {
      const result = await new KeySimulation({ ...faults, seed, duration: 20_000 }).run()
      for (const [key, runs] of result.runs) if (runs > 1) repeatedRuns.push(`seed ${seed}: ${key} ran ${runs} times`)
      count('runs', result.runs.size)
      for (const what of ['claims', 'takeovers', 'moves'] as const) count(what, result[what])
      for (const [verdict, times] of result.verdicts) count(verdict, times)
    }
    context.diagnostic(`${seeds.length} cases: ${JSON.stringify(totals)}`)
    expect(repeatedRuns).toEqual([])
    if (SEED === undefined) expect(totals['runs']!).toBeGreaterThan(CASES)
  })
}
