import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FENCE_STEP } from '../../src/types/limits.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }

/** @returns a rig with one worker, whose poll in flight at the time of its restart is held back and carried out when the returned function is called */
async function createRestartedRig (): Promise<{ rig: CellRig, deliver: () => void }> {
  const rig = await createSteadyRig({ workers: 1, behaviour: () => ({ duration: 300, ending: 'done', size: SIZE }) })
  await rig.run(20_000)
  for (let index = 0; index < 4; index++) await rig.submit(rig.nodes[0]!, [{}])
  await rig.run(3000)
  const worker = rig.fleet.workers.get('w0')!
  const decider = rig.decider!.cell.activeDecider!.registry.workers.get('w0')!
  const poll = { fence: worker.fence, acknowledged: decider.lastEndNumber, leaseEnd: worker.now + 4000 }
  worker.restart()
  return { rig, deliver: () => { worker.poll(poll) } }
}

describe('a call that was meant for the former incarnation of a worker and arrives late', () => {
  // Guards against a completed task that runs again, because a late acknowledgement made its worker forget an end that nobody had read.
  test('makes the present one forget no end', async () => {
    const { rig, deliver } = await createRestartedRig()
    await rig.run(2500)
    const worker = rig.fleet.workers.get('w0')!
    worker.ended.push({ number: 1, task: 'a.0.0.0', run: 1, ending: 'done', checkpoint: '' })
    deliver()
    expect(worker.ended.map(({ number }) => number)).toEqual([1])
  })

  // Guards against two runs of a task, because a late poll gave a worker a longer lease than the decider counts on.
  test('gives the present one no lease', async () => {
    const { rig, deliver } = await createRestartedRig()
    await rig.run(2500)
    const worker = rig.fleet.workers.get('w0')!
    const before = worker.leaseEnd
    deliver()
    expect(worker.leaseEnd).toEqual(before)
  })

  test('is told apart by its fencing token, which a successor\'s exceeds', async () => {
    const { rig } = await createRestartedRig()
    await rig.run(2500)
    rig.putInstance(rig.fleet.workers.get('w0')!.report)
    const { fence } = rig.fleet.workers.get('w0')!
    expect(fence % FENCE_STEP).toEqual(1)
    rig.kill(rig.decider!)
    await rig.run(3000)
    expect(rig.fleet.workers.get('w0')!.fence).toEqual(fence - 1 + FENCE_STEP)
  })
})
