import { describe, test } from 'node:test'
import { expect } from 'earl'
import { runRandomFaults } from '../support/randomFaults.js'

/** Range of seeds that CI runs; `RATTANSTEP_SEEDS=FROM-TO` selects another range. */
const [first, last] = (process.env.RATTANSTEP_SEEDS ?? '1-8').split('-').map(Number) as [number, number]

// Guards against tasks that are lost, run twice or overload a worker after faults in the middle of a preemption: orders to stop that are lost or carried
// out late, and deciders that are lost after they have sent some.
describe('random faults while runs are stopped for more urgent work', () => {
  let preemptions = 0
  for (let seed = first; seed <= last; seed++) {
    test(`of seed ${seed} violate no guarantee`, async () => {
      const { violations, unfinished, startedThoughRefused, faults, rig } = await runRandomFaults(seed, { preempts: true })
      preemptions += rig.nodes.flatMap(({ log }) => log.lines).filter(({ event }) => event.name === 'run-preempted').length
      expect({ seed, violations, unfinished, startedThoughRefused, faults: violations.length + unfinished.length + startedThoughRefused.length === 0 ? [] : faults })
        .toEqual({ seed, violations: [], unfinished: [], startedThoughRefused: [], faults: [] })
    })
  }

  test('happen while runs are stopped', () => {
    // Guards against a load in which nothing is stopped, so that the other tests show nothing.
    expect(preemptions > 20).toEqual(true)
  })
})
