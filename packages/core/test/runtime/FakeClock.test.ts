import { test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '../../src/index.js'

test('callbacks run in order of time, then of scheduling', async () => {
  const clock = new FakeClock()
  const seen: string[] = []
  clock.schedule(20, () => seen.push('late'))
  clock.schedule(10, () => seen.push('first'))
  clock.schedule(10, () => seen.push('second'))
  await clock.advance(20)
  expect(seen).toEqual(['first', 'second', 'late'])
})

test('a cancelled callback does not run', () => {
  const clock = new FakeClock()
  const seen: string[] = []
  const timer = clock.schedule(10, () => seen.push('cancelled'))
  timer.cancel()
  clock.tick(20)
  expect(seen).toEqual([])
})

test('a repeated callback stops when cancelled', () => {
  const clock = new FakeClock()
  let runs = 0
  const timer = clock.repeat(10, () => { runs++ })
  clock.tick(35)
  timer.cancel()
  clock.tick(100)
  expect(runs).toEqual(3)
})

test('sleep resolves after its delay', async () => {
  const clock = new FakeClock()
  let woken = false
  clock.sleep(50).then(() => { woken = true }, () => {})
  await clock.advance(49)
  expect(woken).toEqual(false)
  await clock.advance(1)
  expect(woken).toEqual(true)
})
