import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'
import type { FakeWorker } from '../support/FakeWorkers.js'

const SIZE = { cpu: 1000, memory: 100, accelerators: 0 }
/** Duration of a task, longer than the longest lease that a worker accepts. */
const TASK_MS = 25_000
const DOWNTIME_MS = 600
const LEASE_MAX_MS = 10_000
/** Longest time after which a call may still be carried out. */
const MAX_CALL_DELAY_MS = 12_000
/** Time from the end of a lease to a start elsewhere: margins for clocks and links, a failing poll and a round. */
const REACTION_MS = 1500

/** @returns a rig with one worker whose clock is further than the longest lease, and a running task */
async function createBusyRig (): Promise<{ rig: CellRig, worker: FakeWorker, busyJob: string }> {
  const rig = await createSteadyRig({ nodes: 4, workers: 1, behaviour: () => ({ duration: TASK_MS, ending: 'done', size: SIZE }) })
  await rig.run(30_000)
  const { id } = await rig.submit(rig.nodes[0]!, [{}])
  await rig.run(1000)
  return { rig, worker: rig.fleet.workers.get('w0')!, busyJob: id }
}

/** Crashes the worker between two polls, so that a poll with a lease waits for its next incarnation, and starts a task on that. */
async function restartWithHeldPoll (rig: CellRig, worker: FakeWorker, busyJob: string): Promise<string> {
  const state = rig.decider!.cell.activeDecider!.registry.workers.get('w0')!
  while (state.pollSentAt !== 0) await rig.run(1)
  worker.crash(DOWNTIME_MS)
  await cancel(rig, busyJob)
  await rig.until(() => !worker.isDown)
  await rig.run(100)
  rig.putInstance(worker.report)
  expect(worker.leaseEnd - worker.now).toBeGreaterThan(LEASE_MAX_MS - 200)
  await rig.until(() => state.tasks.size === 0, 3000)
  return await startLongTask(rig, worker)
}

/** Cancels a job; its run has ended when this returns, if its worker is up. */
async function cancel (rig: CellRig, id: string): Promise<void> {
  rig.nodes.find(node => !node.clock.isDead)!.cell.gateway.cancel(id, rig.clock.now() + 2000).catch(error => { throw error })
  await rig.run(500)
}

async function startLongTask (rig: CellRig, worker: FakeWorker): Promise<string> {
  const { id } = await rig.submit(rig.nodes.find(node => !node.clock.isDead)!, [{}])
  await rig.until(() => worker.running.has(`${id}.0.0.0`), 5000)
  await rig.run(100)
  return id
}

/** Cuts the worker off, and waits for the task's start elsewhere; returns ms until then. */
async function cutOff (rig: CellRig, worker: FakeWorker, id: string): Promise<number> {
  worker.isCutOff = true
  rig.addWorker('w1')
  const since = rig.clock.now()
  const starts = rig.fleet.starts.get(`${id}.0.0.0`) ?? 0
  await rig.until(() => (rig.fleet.starts.get(`${id}.0.0.0`) ?? 0) > starts, 40_000)
  return rig.clock.now() - since
}

// Guards against two runs of a task: a poll by the clock of the worker's former incarnation has given the present one a longer lease than usual.
describe('the task of a worker that was cut off after its restart', () => {
  test('is started elsewhere once the lease of a poll for the former incarnation has expired, and no later', async () => {
    const { rig, worker, busyJob } = await createBusyRig()
    const id = await restartWithHeldPoll(rig, worker, busyJob)
    const delay = await cutOff(rig, worker, id)
    expect(rig.fleet.violations).toEqual([])
    expect(delay).toBeLessThan(LEASE_MAX_MS + REACTION_MS)
  })

  test('is started elsewhere by a successor of the decider only once that lease has expired', async () => {
    const { rig, worker, busyJob } = await createBusyRig()
    const id = await restartWithHeldPoll(rig, worker, busyJob)
    rig.kill(rig.decider!)
    const delay = await cutOff(rig, worker, id)
    expect(rig.fleet.violations).toEqual([])
    expect(delay).toBeLessThan(LEASE_MAX_MS + MAX_CALL_DELAY_MS)
  })

  test('is started elsewhere by a second successor only once that lease has expired', async () => {
    const { rig, worker, busyJob } = await createBusyRig()
    const id = await restartWithHeldPoll(rig, worker, busyJob)
    rig.kill(rig.decider!)
    worker.isCutOff = true
    await rig.until(() => rig.decider !== undefined)
    await rig.run(1000)
    rig.kill(rig.decider!)
    await cutOff(rig, worker, id)
    expect(rig.fleet.violations).toEqual([])
  })

  test('is started elsewhere only once the lease has expired that a poll of a former decider gave', async () => {
    const { rig, worker, busyJob } = await createBusyRig()
    const poll = { fence: worker.fence, acknowledged: 0, leaseEnd: worker.now + 4000 }
    await cancel(rig, busyJob)
    rig.kill(rig.decider!)
    await rig.until(() => rig.decider !== undefined)
    await rig.run(2000)
    worker.crash(DOWNTIME_MS)
    await rig.run(DOWNTIME_MS)
    worker.poll(poll)
    rig.putInstance(worker.report)
    await cutOff(rig, worker, await startLongTask(rig, worker))
    expect(rig.fleet.violations).toEqual([])
  })

  // The record names the former incarnation, to which the order was sent.
  test('is started elsewhere by a successor only once the longest lease has expired, if the instance list shows another incarnation than the record', async () => {
    const { rig, worker } = await createBusyRig()
    worker.orderDelay = 60_000
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(50)
    const order = { task: `${id}.0.0.0`, run: 1, spec: 'x', leaseEnd: worker.now + 4000, fence: worker.fence, checkpoint: '' }
    rig.kill(rig.decider!)
    worker.isCutOff = true
    worker.orderDelay = 0
    worker.restart()
    rig.putInstance(worker.report)
    worker.start(order)
    await cutOff(rig, worker, id)
    expect(rig.fleet.violations).toEqual([])
  })
})

// Guards against a wait for the longest lease after every restart.
test('the task of a worker that was cut off long after its restart is started elsewhere after a usual lease', async () => {
  const { rig, worker, busyJob } = await createBusyRig()
  const id = await restartWithHeldPoll(rig, worker, busyJob)
  await rig.run(LEASE_MAX_MS + 1000)
  expect(await cutOff(rig, worker, id)).toBeLessThan(LEASE_MAX_MS / 2 + REACTION_MS)
  expect(rig.fleet.violations).toEqual([])
})

// Guards against orders that count as unanswered although the worker has answered them.
test('the task of a worker that restarted when all its orders were answered is started elsewhere after a usual lease', async () => {
  const { rig, worker, busyJob } = await createBusyRig()
  await cancel(rig, busyJob)
  await rig.run(1500)
  worker.crash(DOWNTIME_MS)
  await rig.run(DOWNTIME_MS + 1500)
  const id = await startLongTask(rig, worker)
  expect(await cutOff(rig, worker, id)).toBeLessThan(LEASE_MAX_MS / 2 + REACTION_MS)
  expect(rig.fleet.violations).toEqual([])
})

// Guards against a job of which nothing runs for 22 s after a takeover: its run had ended with the worker's former incarnation, and the worker is gone.
test('a run that had begun in a former incarnation is started elsewhere by a successor after a usual lease', async () => {
  const { rig, worker, busyJob } = await createBusyRig()
  rig.kill(rig.decider!)
  worker.crash(0)
  rig.putInstance({ ...worker.report, born: worker.report.born + 1 })
  expect(await cutOff(rig, worker, busyJob)).toBeLessThan(LEASE_MAX_MS)
  expect(rig.fleet.violations).toEqual([])
})
