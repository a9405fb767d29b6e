import { describe, test } from 'node:test'
import { expect } from 'earl'
import { takeToken, takeTurns } from '../../src/index.js'
import type { TokenBucket } from '../../src/index.js'

/** @returns for each submission time whether it is within the rate */
function meter (rate: number, times: number[]): boolean[] {
  let bucket: TokenBucket | undefined
  return times.map(at => {
    const taken = takeToken(bucket, { rate, at })
    bucket = taken.bucket
    return taken.isWithin
  })
}

describe('submissions of an organisation', () => {
  // Guards against a burst that counts as owed, and against a burst that uses up what is owed after it.
  test('are within the rate up to a burst of a second and again after a pause', () => {
    const burst = meter(10, [...Array<number>(60).fill(0), ...Array<number>(12).fill(1000)])
    expect(burst.flatMap((isWithin, index) => isWithin ? [index] : [])).toEqual([...Array(10).keys(), ...Array.from({ length: 10 }, (_, index) => 60 + index)])
  })

  test('may come in small groups at a low rate', () => {
    expect(meter(1, [0, 0, 0, 0, 0, 900, 1000])).toEqual([true, true, true, true, false, false, true])
  })

  // Guards against tokens from the past: submissions arrive over several links, slightly out of order.
  test('in the wrong order get no more tokens than in the right one', () => {
    expect(meter(1, [1000, 1000, 1000, 1000, 0, 1000, 1500, 2000])).toEqual([true, true, true, true, false, false, false, true])
  })
})

describe('organisations that take turns', () => {
  const small = { weight: 1, share: 0.1 }
  const large = { weight: 4, share: 0.2 }
  const items = [small, small, large, large, large, large, large].map((sharer, index) => ({ sharer, index }))

  // Guards against an organisation that takes all free capacity by submitting first, and against capacity that is left to nobody.
  test('are served by their shares for their weights, each in its own order and without leaving out any', () => {
    const ordered = takeTurns(items, { sharerOf: ({ sharer }) => sharer, costOf: () => 0.1 })
    expect(ordered.map(({ index }) => index)).toEqual([2, 3, 0, 4, 5, 6, 1])
  })

  // Guards against items that are lost or repeated where only the first turns are of interest.
  test('are followed by the others in their order after a number of turns', () => {
    const ordered = takeTurns(items, { sharerOf: ({ sharer }) => sharer, costOf: () => 0.1, limit: 2 })
    expect(ordered.map(({ index }) => index)).toEqual([2, 3, 0, 1, 4, 5, 6])
  })

  test('keep the order of items if there is only one', () => {
    expect(takeTurns(items.slice(2), { sharerOf: ({ sharer }) => sharer, costOf: () => 0.1 })).toEqual(items.slice(2))
  })
})
