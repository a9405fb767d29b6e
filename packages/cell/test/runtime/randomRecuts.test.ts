import { describe, test } from 'node:test'
import { expect } from 'earl'
import { runRandomRecuts } from '../support/randomRecuts.js'

/** Range of seeds that CI runs in addition to those that have failed; `RATTANSTEP_SEEDS=FROM-TO` selects another range. */
const [first, last] = (process.env.RATTANSTEP_SEEDS ?? '3-5').split('-').map(Number) as [number, number]

const MODES = [
  { title: 'alone', kills: false, delaysOrders: false, failed: [] },
  // A successor counted on a usual lease for a worker whose former incarnation's lease was longer.
  { title: 'with kills of the decider', kills: true, delaysOrders: false, failed: [12, 14] },
  // A start was carried out by the next incarnation, whose end was acknowledged unread.
  { title: 'with late orders', kills: false, delaysOrders: true, failed: [2, 74] },
  { title: 'with kills and late orders', kills: true, delaysOrders: true, failed: [5, 14] }
]

// Guards against tasks that run twice because a restarted worker carries out calls that were meant for its former incarnation.
describe('restarts of workers under their ids, followed by cuts,', () => {
  for (const { title, failed, ...options } of MODES) {
    const seeds = new Set([...Array.from({ length: last - first + 1 }, (_, index) => first + index), ...failed])
    for (const seed of seeds) {
      test(`${title} violate no guarantee with seed ${seed}`, async () => {
        const { violations, faults } = await runRandomRecuts(seed, options)
        expect({ violations, faults: violations.length === 0 ? [] : faults }).toEqual({ violations: [], faults: [] })
      })
    }
  }
})
