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

  // Guards against two runs of a task: the former incarnation had taken the order to stop it, and the order to start it reached the present one.
  test('starts no run beside another one, although the former one had taken the order to stop it', async () => {
    const rig = await createSteadyRig({ workers: 1, behaviour: () => ({ duration: 3000, ending: 'done', size: SIZE }) })
    const worker = rig.fleet.workers.get('w0')!
    worker.orderDelay = 60_000
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    const task = `${id}.0.0.0`
    await rig.until(() => rig.decider!.cell.activeDecider!.registry.findTask(task)!.phase === 'ordered')
    rig.addWorker('w1')
    await rig.run(100)
    const stop = worker.stop.bind(worker)
    worker.stop = order => {
      // The answer still arrives.
      rig.clock.schedule(0.5, () => { worker.isCutOff = true })
      return stop(order)
    }
    worker.orderDelay = 0
    await rig.until(() => worker.isCutOff)
    const { fence } = worker
    // The poll that was under way at the cut is answered.
    await rig.run(700)
    worker.restart()
    const poll = worker.poll.bind(worker)
    worker.poll = order => {
      worker.poll = poll
      const list = poll(order)
      worker.start({ task, run: 1, spec: 'x', leaseEnd: 60_000, fence, checkpoint: '' })
      return list
    }
    worker.isCutOff = false
    await rig.run(8000)
    expect([rig.fleet.violations, await rig.phase(rig.nodes[0]!, id)]).toEqual([[], 'completed'])
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
