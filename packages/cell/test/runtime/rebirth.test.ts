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

// Guards against the first poll after a restart that nobody has noticed: with the number of an end of the former incarnation, it makes the present one
// forget an end that nobody has read.
test('a worker that restarts behind a cut and lists there the end of a run has no task run again', async () => {
  let duration = 300
  const rig = await createSteadyRig({ workers: 1, behaviour: () => ({ duration, ending: 'done', size: SIZE }) })
  for (let index = 0; index < 4; index++) await rig.submit(rig.nodes[0]!, [{}])
  await rig.run(3000)
  duration = 20_000
  const { id } = await rig.submit(rig.nodes[0]!, [{}])
  await rig.until(() => rig.fleet.starts.get(`${id}.0.0.0`) === 1)
  const worker = rig.fleet.workers.get('w0')!
  worker.isCutOff = true
  await rig.run(700)
  worker.restart()
  worker.ended.push({ number: 1, task: `${id}.0.0.0`, run: 1, ending: 'done', checkpoint: '' })
  worker.isCutOff = false
  await rig.run(3000)
  expect([await rig.phase(rig.nodes[0]!, id), rig.fleet.starts.get(`${id}.0.0.0`)]).toEqual(['completed', 1])
})

// Guards against a start by the labels of a worker's former incarnation (review/10): the list of the present one arrives before its changed entry.
test('a worker that returns as another kind gets no task that requires its former kind before its entry has changed', async () => {
  const rig = await createSteadyRig({ workers: 0, behaviour: () => ({ duration: 300, ending: 'done', size: SIZE }) })
  rig.addWorker('w0', 4000, ['b'])
  await rig.run(3000)
  const worker = rig.fleet.workers.get('w0')!
  const { put } = rig.fleet.list
  rig.fleet.list.put = report => { rig.clock.schedule(3000, () => { put(report) }) }
  worker.restart()
  worker.report = { ...worker.report, labels: ['a'] }
  const { id } = await rig.submit(rig.nodes[0]!, [{ label: 'b' }])
  const other = await rig.submit(rig.nodes[0]!, [{ label: 'a' }])
  await rig.run(8000)
  expect(rig.fleet.starts.get(`${id}.0.0.0`)).toEqual(undefined)
  expect(await rig.phase(rig.nodes[0]!, other.id)).toEqual('completed')
})
