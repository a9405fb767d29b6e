import { describe, test } from 'node:test'
import { expect } from 'earl'
import { takeToken } from '../../src/index.js'
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
