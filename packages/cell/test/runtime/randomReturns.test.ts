import { describe, test } from 'node:test'
import { expect } from 'earl'
import { runRandomReturns } from '../support/randomReturns.js'

/** Range of seeds that CI runs; `RATTANSTEP_SEEDS=FROM-TO` selects another range. */
const [first, last] = (process.env.RATTANSTEP_SEEDS ?? '1-12').split('-').map(Number) as [number, number]

// Guards against tasks that run twice because something returns: a worker under its id, a request after its job has ended, a node or a whole
// data centre after a cut.
describe('random faults after which something returns', () => {
  for (let seed = first; seed <= last; seed++) {
    test(`of seed ${seed} violate no guarantee`, async () => {
      const { violations, faults } = await runRandomReturns(seed)
      expect({ violations, faults: violations.length === 0 ? [] : faults }).toEqual({ violations: [], faults: [] })
    })
  }
})
