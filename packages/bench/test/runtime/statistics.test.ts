import { test } from 'node:test'
import { expect } from 'earl'
import { formatSpread, quantile, spread } from '../../src/utils/statistics.js'

const CASES: Array<{ title: string, fraction: number, value: number }> = [
  { title: 'the median', fraction: 0.5, value: 3 },
  { title: 'the largest value', fraction: 1, value: 5 },
  { title: 'the smallest value', fraction: 0, value: 1 }
]

for (const { title, fraction: part, value } of CASES) {
  test(`${title} is found in unsorted values`, () => {
    expect(quantile([5, 1, 4, 2, 3], part)).toEqual(value)
  })
}

test('a spread is formatted with its range only when values differ', () => {
  expect(formatSpread(spread([2, 1, 3]), 1)).toEqual('2.0 (1.0–3.0)')
  expect(formatSpread(spread([2, 2]))).toEqual('2')
})
