import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { MemoryLog } from '@rattanstep/telemetry'
import { PauseMonitor } from '../../src/runtime/PauseMonitor.js'
import { NodeClock } from '../support/NodeClock.js'

function createMonitor (): { clock: FakeClock, process: NodeClock, monitor: PauseMonitor, log: MemoryLog } {
  const clock = new FakeClock({ start: 1000 })
  const process = new NodeClock(clock)
  const log = new MemoryLog()
  const monitor = new PauseMonitor({ clock: process, log })
  monitor.start()
  return { clock, process, monitor, log }
}

// Guards against a request that is carried out long after its caller has left, because its time is counted from the moment at which a frozen process reads it.
describe('a request that is read', () => {
  test('while the process runs counts from now', async () => {
    const { clock, monitor } = createMonitor()
    await clock.advance(5030)
    expect(monitor.earliestArrival()).toEqual(6030)
  })

  test('after a pause counts from the start of the pause, before the monitor\'s timer and after it', async () => {
    const { clock, process, monitor, log } = createMonitor()
    await clock.advance(1000)
    process.freeze()
    await clock.advance(4000)
    expect(monitor.earliestArrival()).toEqual(2000)
    process.thaw()
    await clock.advance(50)
    expect(monitor.earliestArrival()).toEqual(2000)
    await clock.advance(200)
    expect(monitor.earliestArrival()).toEqual(6250)
    expect(log.lines.map(({ fields }) => fields.duration)).toEqual([4000])
  })
})
