import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { scheduleTimeout } from '../../src/runtime/scheduleTimeout.js'
import { NodeClock } from '../support/NodeClock.js'

describe('a time-out', () => {
  // Guards against answers that have arrived and count as missing, because timers run first.
  test('doesn\'t expire if what arrives in the same turn takes it back', async () => {
    const inner = new FakeClock()
    const clock = new NodeClock(inner)
    let hasExpired = false
    const timer = scheduleTimeout(clock, 100, () => { hasExpired = true })
    clock.schedule(100, () => { timer.cancel() })
    await inner.advance(200)
    expect(hasExpired).toEqual(false)
  })

  test('expires without it', async () => {
    const inner = new FakeClock()
    let expiredAt = 0
    scheduleTimeout(new NodeClock(inner), 100, () => { expiredAt = inner.now() })
    await inner.advance(200)
    expect(expiredAt).toEqual(100)
  })
})
