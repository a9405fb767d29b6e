import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@rattanstep/core'
import { chooseOwner } from '../../src/index.js'
import type { OwnerCandidate } from '../../src/index.js'

function owner (incarnation: string, free: number, slots = 24): OwnerCandidate {
  return { incarnation, load: { slots, free, waiting: [], service: 50 }, age: 300, dataCentre: 'dc-1' }
}

test('no owner is chosen when none has a worker', () => {
  expect(chooseOwner({ owners: [owner('a', 0, 0)], priority: 50, random: new SeededRandom(1) })).toEqual(null)
})

test('excluded owners are not chosen', () => {
  const options = { owners: [owner('a', 9), owner('b', 1)], priority: 50, random: new SeededRandom(1) }
  expect(chooseOwner({ ...options, exclude: new Set(['a']) })?.owner).toEqual('b')
})

test('asks are spread over free and busy slots, so that an outdated load does not attract all of them', () => {
  const random = new SeededRandom(7)
  const owners = [owner('a', 12), owner('b', 4)]
  let first = 0
  for (let count = 0; count < 1000; count++) {
    if (chooseOwner({ owners, priority: 50, random })?.owner === 'a') first++
  }
  expect(first > 580 && first < 690).toEqual(true)
})

test('of two owners the one with fewer unanswered asks is chosen', () => {
  const random = new SeededRandom(7)
  const options = { owners: [owner('a', 4), owner('b', 4)], priority: 50, random, outstanding: new Map([['a', 4]]) }
  let first = 0
  for (let count = 0; count < 1000; count++) {
    if (chooseOwner(options)?.owner === 'a') first++
  }
  expect(first > 200 && first < 300).toEqual(true)
})

const OWN_NODE_CASES: Array<{ title: string, free: number, waiting: number, unanswered: number, chosen: boolean }> = [
  { title: 'the own node is chosen while it has free slots', free: 4, waiting: 0, unanswered: 0, chosen: true },
  { title: 'the own node leaves its last slot to other fronts', free: 0.9, waiting: 0, unanswered: 0, chosen: false },
  { title: 'the own node is not preferred while asks wait there', free: 4, waiting: 1, unanswered: 0, chosen: false },
  { title: 'unanswered asks count against the own node', free: 4, waiting: 0, unanswered: 4, chosen: false }
]

for (const { title, free, waiting, unanswered, chosen } of OWN_NODE_CASES) {
  test(title, () => {
    const own = owner('a', free)
    own.load.waiting = waiting === 0 ? [] : [{ priority: 50, count: waiting, wait: 10 }]
    const options = { owners: [own, owner('b', 9)], priority: 50, random: new SeededRandom(2), outstanding: new Map([['a', unanswered]]) }
    expect(chooseOwner({ ...options, self: 'a' })?.reason === 'own').toEqual(chosen)
  })
}
