import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { PhaseWaiters } from '../../src/runtime/PhaseWaiters.js'
import { Registry } from '../../src/runtime/Registry.js'
import { stepOf } from '../support/CellRig.js'

const READS = 1000

describe('reads of the phase of a running job', () => {
  // Guards against a decider that ends at its heap limit, because each read of a running job left an entry until the phase changed.
  test('leave nothing behind once they are answered, also if the phase doesn\'t change', async () => {
    const clock = new FakeClock()
    const waiters = new PhaseWaiters(clock)
    const registry = new Registry()
    const state = registry.addJob({ id: 'a', route: 'r', spec: '', steps: [stepOf({})], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
    state.visiblePhase = 'running'
    Object.assign(state.occurrences[0]!.steps[0]!.tasks.at(0)!, { phase: 'running', run: 1 })
    let answered = 0
    for (let read = 0; read < READS; read++) waiters.wait(state, false).then(() => { answered++ }, error => { throw error })
    expect(waiters.size).toEqual(READS)
    await clock.advance(200)
    expect([answered, waiters.size]).toEqual([READS, 0])
  })

  test('are answered at once when the phase changes', async () => {
    const clock = new FakeClock()
    const waiters = new PhaseWaiters(clock)
    const registry = new Registry()
    const state = registry.addJob({ id: 'a', route: 'r', spec: '', steps: [stepOf({})], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
    let answered = 0
    for (let read = 0; read < READS; read++) waiters.wait(state, true).then(() => { answered++ }, error => { throw error })
    waiters.release('a')
    await clock.advance(1)
    expect([answered, waiters.size]).toEqual([READS, 0])
  })

  test('are answered at once while too many wait', async () => {
    const clock = new FakeClock()
    const waiters = new PhaseWaiters(clock, { maxWaiting: 3 })
    const registry = new Registry()
    const state = registry.addJob({ id: 'a', route: 'r', spec: '', steps: [stepOf({})], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
    let answered = 0
    for (let read = 0; read < 5; read++) waiters.wait(state, true).then(() => { answered++ }, error => { throw error })
    await clock.advance(1)
    expect([answered, waiters.size]).toEqual([2, 3])
    waiters.release('a')
    await clock.advance(1)
    expect([answered, waiters.size]).toEqual([5, 0])
  })
})
