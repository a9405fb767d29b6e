import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Cell, Job } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'

/** Time in which a short job is run, recorded and archived. */
const COMPLETION_MS = 4000

describe('the announcement of a job that has ended', () => {
  // Guards against a completed job that runs again when its request is repeated at a node whose connection to the store is reset.
  test('starts nothing after a takeover when the repeated write first gets no answer', async () => {
    const rig = await createSteadyRig({ nodes: 4 })
    const follower = lastFollower(rig)
    const { id } = await rig.submit(follower, [{ count: 2 }])
    await rig.run(COMPLETION_MS)
    await replaceDecider(rig, follower)
    follower.store.condition = 'resetting'
    rig.clock.schedule(100, () => { follower.store.condition = 'normal' })
    expect(await submitAgain(rig, follower, id)).toEqual('accepted')
    await expectNoFurtherStart(rig, id, 2)
  })

  // Guards against a completed job that runs again when its node was paused between the write and the announcement.
  test('starts nothing when it arrives only after the job was archived and the decider was replaced', async () => {
    const rig = await createSteadyRig({ nodes: 4 })
    const follower = lastFollower(rig)
    const announce = holdAnnouncements(follower)
    const { id } = await rig.submit(follower, [{ count: 2 }])
    await rig.run(COMPLETION_MS)
    expect(await rig.phase(follower, id)).toEqual('completed')
    await replaceDecider(rig, follower)
    announce()
    await expectNoFurtherStart(rig, id, 2)
  })

  // Guards against a completed job that runs again once the decider has forgotten that the job has ended.
  test('starts nothing when it arrives only after the retention of ended jobs', async () => {
    const rig = await createSteadyRig()
    const follower = lastFollower(rig)
    const announce = holdAnnouncements(follower)
    const { id } = await rig.submit(follower, [{ count: 2 }])
    await rig.run(COMPLETION_MS + 125_000)
    await rig.submit(follower, [{}])
    await rig.run(COMPLETION_MS)
    announce()
    await expectNoFurtherStart(rig, id, 2)
  })

  // Guards against a completed job that runs again because its archiving failed for longer than the retention of ended jobs.
  test('starts nothing when the feed reads all submissions anew while the job still waits for its archiving', async () => {
    const rig = await createSteadyRig()
    const follower = lastFollower(rig)
    const { id } = await rig.submit(follower, [{ count: 2 }])
    await rig.until(() => rig.fleet.done.size === 2)
    for (const node of rig.nodes) node.store.refusesDeletions = true
    await rig.run(130_000)
    await rig.submit(follower, [{}])
    await rig.run(COMPLETION_MS)
    rig.tables.dropHistory()
    await rig.run(COMPLETION_MS)
    expect(rig.fleet.starts.get(`${id}.0.0.0`)).toEqual(1)
    expect(rig.fleet.violations).toEqual([])
  })
})

describe('the announcement of a new job', () => {
  test('starts the job when its write first got no answer after a takeover', async () => {
    const rig = await createSteadyRig({ nodes: 4 })
    const follower = lastFollower(rig)
    await replaceDecider(rig, follower)
    follower.store.condition = 'losing-answers'
    rig.clock.schedule(700, () => { follower.store.condition = 'normal' })
    const { id, outcome } = await rig.submit(follower, [{ count: 2 }])
    expect(outcome.kind).toEqual('accepted')
    await rig.run(COMPLETION_MS)
    expect(await rig.phase(follower, id)).toEqual('completed')
    expect([...rig.fleet.starts.values()]).toEqual([1, 1])
  })

  test('starts the job at once, without a poll of the submissions', async () => {
    const rig = await createSteadyRig()
    const follower = lastFollower(rig)
    const { id } = await rig.submit(follower, [{}])
    await rig.run(60)
    expect(rig.fleet.firstStart.has(`${id}.0.0.0`)).toEqual(true)
  })
})

/** @returns the follower that joined last, which is the last to succeed the decider */
function lastFollower (rig: CellRig): RigNode {
  return rig.nodes.filter(node => node !== rig.decider).at(-1)!
}

/** Kills the decider, and waits for one other than the given node. */
async function replaceDecider (rig: CellRig, other: RigNode): Promise<void> {
  rig.kill(rig.decider!)
  await rig.until(() => rig.decider !== undefined)
  expect(rig.decider!.name).not.toEqual(other.name)
  await rig.run(1000)
}

/** Keeps a node's announcements of jobs back, as a pause of its process does. @returns function that sends them */
function holdAnnouncements ({ cell }: RigNode): () => void {
  const held: Array<Parameters<Cell['announceJob']>> = []
  const announceJob = cell.announceJob.bind(cell)
  cell.announceJob = (...job) => { held.push(job) }
  return () => { for (const job of held) announceJob(...job) }
}

async function submitAgain (rig: CellRig, node: RigNode, id: string): Promise<string> {
  const job: Job = { id, route: 'r', spec: 'x', steps: [stepOf({ count: 2 })], acceptedAt: 1 }
  let kind = ''
  node.cell.gateway.submit(job, rig.clock.now() + 2000).then(outcome => { kind = outcome.kind }, error => { throw error })
  await rig.until(() => kind !== '')
  return kind
}

async function expectNoFurtherStart (rig: CellRig, id: string, tasks: number): Promise<void> {
  await rig.run(COMPLETION_MS)
  for (let index = 0; index < tasks; index++) expect(rig.fleet.starts.get(`${id}.0.0.${index}`)).toEqual(1)
  expect(rig.fleet.violations).toEqual([])
}
