import { test } from 'node:test'
import { EMPTY_ASSIGNMENT, FakeClock } from '@rattanstep/core'
import type { Assignment } from '@rattanstep/core'
import { SilentLog } from '@rattanstep/telemetry'
import { expect } from 'earl'
import { VoterLossDetector } from '../../src/runtime/VoterLossDetector.js'
import { entry } from '../support/Cell.js'

// Voters declared lost too early could still grant leases while new voters are chosen; voters never declared lost
// would block the cell for ever. The platform's list lags, so a voter that is missing from it may also be too new.

interface LossCase {
  title: string
  /** Instances in the first list, and in all later ones. */
  lists: [string[] | null, string[] | null]
  heard?: string[]
  joined?: string[]
  /** ms after which the voters a, b and c count as lost; null for never. */
  lostAfter: number | null
}

const cases: LossCase[] = [
  { title: 'a majority was listed and no longer is', lists: [['a', 'b', 'c'], ['a']], lostAfter: 3000 },
  { title: 'a majority was never listed and may be too new', lists: [['d'], ['d']], lostAfter: 30_000 },
  { title: 'one of a majority was never listed', lists: [['a', 'b'], ['a']], lostAfter: 30_000 },
  { title: 'only a minority is gone', lists: [['a', 'b', 'c'], ['a', 'b']], lostAfter: null },
  { title: 'a voter that is not listed sends heartbeats', lists: [['a', 'b', 'c'], ['a']], heard: ['b@1'], lostAfter: null },
  { title: 'the list is unknown', lists: [['a', 'b', 'c'], null], lostAfter: null },
  { title: 'later processes run on the instances of a majority', lists: [['a', 'b', 'c'], ['a', 'b', 'c']], joined: ['b@2', 'c@2'], lostAfter: 3000 },
  { title: 'earlier processes are still named as holders', lists: [['a', 'b', 'c'], ['a', 'b', 'c']], joined: ['b@1'], lostAfter: null }
]

for (const { title, lists, heard = [], joined = [], lostAfter } of cases) {
  test(`${title}: lost ${lostAfter === null ? 'never' : `after ${lostAfter} ms`}`, () => {
    const clock = new FakeClock()
    const detector = new VoterLossDetector({ clock, log: new SilentLog(), delays: { listed: 3000, neverListed: 30_000 } })
    const assignment: Assignment = {
      ...EMPTY_ASSIGNMENT,
      version: 3,
      voters: ['a@1', 'b@1', 'c@1'],
      holders: [...joined.length > 0 ? ['b@0'] : [], ...joined].map(incarnation =>
        ({ incarnation, dataCentre: 'dc', peer: { host: '127.0.0.1', port: 1 }, draining: false }))
    }
    const isLost = (list: string[] | null): boolean =>
      detector.detect({ assignment, instances: list?.map(entry) ?? null, heard: new Set(heard) }).voters
    isLost(lists[0])
    let found: number | null = null
    const start = clock.now()
    for (let step = 0; step <= 400; step++) {
      if (isLost(lists[1]) && found === null) found = clock.now() - start
      clock.tick(100)
    }
    expect(found).toEqual(lostAfter)
  })
}
