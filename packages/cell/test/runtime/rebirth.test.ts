import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'
import type { FakeWorker } from '../support/FakeWorkers.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }

describe('a worker that restarts while it is idle', () => {
  // Guards against an acknowledgement of the former incarnation's ends that makes the new one forget an end nobody has read.
  test('has no task run again whose end it has listed', async () => { await restartIdleWorker(() => {}) })

  test('has no task run again whose end it has listed if its entry shows the new incarnation', async () => {
    await restartIdleWorker((rig, worker) => { rig.putInstance(worker.report) })
  })

  async function restartIdleWorker (announce: (rig: CellRig, worker: FakeWorker) => void): Promise<void> {
    let duration = 300
    const rig = await createSteadyRig({ workers: 1, behaviour: () => ({ duration, ending: 'done', size: SIZE }) })
    const node = rig.nodes[0]!
    for (let index = 0; index < 4; index++) await rig.submit(node, [{}])
    await rig.run(3000)
    const worker = [...rig.fleet.workers.values()][0]!
    worker.restart()
    announce(rig, worker)
    duration = 1
    const { id } = await rig.submit(node, [{}])
    await rig.run(3000)
    expect(await rig.phase(node, id)).toEqual('completed')
    expect(rig.fleet.starts.get(`${id}.0.0.0`)).toEqual(1)
    expect(rig.fleet.violations).toEqual([])
  }
})
