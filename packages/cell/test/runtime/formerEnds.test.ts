import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'
import type { FakeWorker } from '../support/FakeWorkers.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }

/** Starts a job, cuts its worker off until the decider takes the run for lost, and has the worker list an end as done of that run. */
async function loseRunThatIsDone (rig: CellRig, { count = 1, gang = false } = {}): Promise<{ id: string, first: FakeWorker }> {
  const { id } = await rig.submit(rig.nodes[0]!, [{ count, gang }])
  await rig.until(() => rig.fleet.starts.get(`${id}.0.0.0`) === 1)
  await rig.run(100)
  const first = [...rig.fleet.workers.values()].find(each => each.running.has(`${id}.0.0.0`))!
  first.isCutOff = true
  // The poll that was under way at the cut is answered.
  await rig.run(700)
  first.running.delete(`${id}.0.0.0`)
  first.ended.push({ number: first.nextEnd++, task: `${id}.0.0.0`, run: 1, ending: 'done', checkpoint: '' })
  return { id, first }
}

// Guards against a task that runs again although its worker has listed its end as done, because the run had been taken for lost.
describe('the end as done of a run that was taken for lost', () => {
  test('completes the task while it waits, with no further run', async () => {
    const rig = await createSteadyRig({ workers: 1, behaviour: () => ({ duration: 20_000, ending: 'done', size: SIZE }) })
    const { id, first } = await loseRunThatIsDone(rig)
    await rig.run(6000)
    first.isCutOff = false
    await rig.run(1500)
    expect([await rig.phase(rig.nodes[0]!, id), rig.fleet.starts.get(`${id}.0.0.0`)]).toEqual(['completed', 1])
  })

  for (const gang of [false, true]) {
    test(`completes ${gang ? 'the whole gang' : 'the task'} while it runs elsewhere, and stops that run`, async () => {
      const rig = await createSteadyRig({ workers: 3, behaviour: () => ({ duration: 20_000, ending: 'done', size: SIZE, ...(gang ? { gang: 2 } : {}) }) })
      const { id, first } = await loseRunThatIsDone(rig, gang ? { count: 2, gang } : {})
      await rig.until(() => rig.fleet.starts.get(`${id}.0.0.0`) === 2)
      await rig.run(200)
      first.isCutOff = false
      await rig.run(2000)
      const running = [...rig.fleet.workers.values()].flatMap(worker => [...worker.running.keys()])
      expect([await rig.phase(rig.nodes[0]!, id), running, rig.fleet.starts.get(`${id}.0.0.0`)]).toEqual(['completed', [], 2])
      const known = [...rig.decider!.cell.activeDecider!.registry.workers.values()]
      expect(known.map(({ tasks, used }) => [tasks.size, used.cpu])).toEqual(known.map(() => [0, 0]))
    })
  }

  test('is acknowledged only once the completion is on record', async () => {
    const rig = await createSteadyRig({ nodes: 4, workers: 1, behaviour: () => ({ duration: 20_000, ending: 'done', size: SIZE }) })
    const { id, first } = await loseRunThatIsDone(rig)
    await rig.run(6000)
    for (const node of rig.nodes) node.store.condition = 'silent'
    first.isCutOff = false
    await rig.run(900)
    expect(first.ended.map(({ task }) => task)).toEqual([`${id}.0.0.0`])
    for (const node of rig.nodes) node.store.condition = 'normal'
    rig.kill(rig.decider!)
    await rig.run(5000)
    expect([await rig.phase(rig.decider!, id), rig.fleet.starts.get(`${id}.0.0.0`)]).toEqual(['completed', 1])
  })
})
