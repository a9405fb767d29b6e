import { test } from 'node:test'
import { expect } from 'earl'
import { MAX_TASKS_PER_WORKER } from '../../src/runtime/CapacitySnapshot.js'
import { createSteadyRig } from '../support/CellRig.js'

// Guards against tasks that need no resources, any number of which was placed on a worker at once.
test('a worker gets a limited number of tasks that need no resources, and all of them run in turn', async () => {
  const rig = await createSteadyRig({ nodes: 1, workers: 1, behaviour: () => ({ duration: 5000, ending: 'done', size: { cpu: 0, memory: 0, accelerators: 0 } }) })
  const size = { cpu: 0, memory: 0, accelerators: 0 }
  const jobs = [await rig.submit(rig.nodes[0]!, [{ count: 700, size }]), await rig.submit(rig.nodes[0]!, [{ count: 700, size }])]
  await rig.run(1500)
  expect(rig.fleet.workers.get('w0')!.running.size).toEqual(MAX_TASKS_PER_WORKER)
  await rig.until(() => jobs.every(({ id }) => rig.decider!.cell.activeDecider!.registry.jobs.get(id)?.phase !== 'open'), 60_000)
  expect(await rig.phases(jobs.map(({ id }) => id))).toEqual(['completed', 'completed'])
})
