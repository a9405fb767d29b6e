import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Job } from '../../src/index.js'
import { submissionPart } from '../../src/runtime/rowNames.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'

const ID = '00000000000000aa'
/** Id of a job whose submission is in the same part. */
const OTHER_ID = Array.from({ length: 100 }, (_, index) => index.toString(16).padStart(16, '0')).find(id => submissionPart(id) === submissionPart(ID))!
const JOB: Job = { id: ID, route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }
/** Time in which a short job would have been run. */
const COMPLETION_MS = 5000

/** Sends a request and returns a function that reads the kind of its outcome, or '' before there is one. */
function send (rig: CellRig, node: RigNode, action: 'submit' | 'cancel', patience = 3000): () => string {
  let kind = ''
  const deadline = rig.clock.now() + patience
  const { gateway } = node.cell
  const outcome = action === 'submit' ? gateway.submit(JOB, deadline) : gateway.cancel(ID, deadline)
  outcome.then(each => { kind = each.kind }, error => { throw error })
  return () => kind
}

async function settle (rig: CellRig, read: () => string): Promise<string> {
  await rig.until(() => read() !== '')
  return read()
}

/** Has a transaction of the decider's node in the part of the job get no answer, so that writes that follow wait for each other. */
async function occupyWriter (rig: CellRig): Promise<() => string> {
  let kind = ''
  const { store, cell } = rig.decider!
  store.condition = 'losing-answers'
  cell.gateway.submit({ ...JOB, id: OTHER_ID }, rig.clock.now() + 3000).then(outcome => { kind = outcome.kind }, error => { throw error })
  await rig.run(20)
  store.condition = 'normal'
  return () => kind
}

function countStarts (rig: CellRig): number {
  return rig.fleet.starts.get(`${ID}.0.0.0`) ?? 0
}

// Guards against a job that is started after its cancelling was answered with "no such job", because the cancelling left nothing behind.
describe('the cancellation of a job that is not on record', () => {
  test('keeps out a submission that a frozen node handles later, at every node and after a takeover', async () => {
    const rig = await createSteadyRig({ nodes: 4 })
    const [frozen, other] = rig.nodes.filter(node => node !== rig.decider) as [RigNode, RigNode]
    expect(await settle(rig, send(rig, other, 'cancel'))).toEqual('unknown-job')
    rig.kill(rig.decider!)
    await rig.run(4000)
    expect(await settle(rig, send(rig, frozen, 'submit'))).toEqual('refused')
    expect(await settle(rig, send(rig, rig.decider!, 'submit'))).toEqual('refused')
    await rig.run(COMPLETION_MS)
    expect([countStarts(rig), await rig.phase(other, ID)]).toEqual([0, 'unknown-job'])
  })

  test('keeps out a submission that the store carries out late', async () => {
    const rig = await createSteadyRig()
    const [follower, other] = rig.nodes.filter(node => node !== rig.decider) as [RigNode, RigNode]
    follower.store.condition = 'late'
    const submitted = send(rig, follower, 'submit', 1000)
    await rig.run(100)
    expect(await settle(rig, send(rig, other, 'cancel'))).toEqual('unknown-job')
    await rig.run(COMPLETION_MS)
    expect([submitted(), countStarts(rig), await rig.phase(other, ID)]).toEqual(['unsettled', 0, 'unknown-job'])
  })

  // Guards against a job that runs although its cancelling was answered with "no such job", because both were written in one transaction.
  test('is without effect if it waits with the submission for the same transaction, which the job then is cancelled after', async () => {
    const rig = await createSteadyRig()
    const other = await occupyWriter(rig)
    const submitted = send(rig, rig.decider!, 'submit')
    const cancelled = send(rig, rig.decider!, 'cancel')
    expect([await settle(rig, cancelled), await settle(rig, submitted), await settle(rig, other)]).toEqual(['cancelled', 'accepted', 'accepted'])
    await rig.run(COMPLETION_MS)
    expect([countStarts(rig), await rig.phase(rig.decider!, ID)]).toEqual([0, 'cancelled'])
  })

  // The same through a node that writes for others.
  test('is told of the submission if two nodes forward them to the decider', async () => {
    const rig = await createSteadyRig()
    await occupyWriter(rig)
    const { gateway } = rig.decider!.cell
    const outcomes = Promise.all([gateway.write({ kind: 'job', job: JOB }, rig.clock.now() + 3000), gateway.write({ kind: 'withdraw', id: ID }, rig.clock.now() + 3000)])
    await rig.run(3000)
    expect(await outcomes).toEqual(['done', 'repeated'])
  })

  test('is repeated without effect', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) expect(await settle(rig, send(rig, node, 'cancel'))).toEqual('unknown-job')
  })

  test('that a slow store combines with others at the decider keeps out the submission', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'slow'
    await rig.run(2000)
    const cancelled = send(rig, rig.nodes.find(node => node !== rig.decider)!, 'cancel', 6000)
    const outcome = await settle(rig, cancelled)
    for (const node of rig.nodes) node.store.condition = 'normal'
    await rig.run(2000)
    expect([outcome, await settle(rig, send(rig, rig.nodes[0]!, 'submit'))]).toEqual(['unknown-job', 'refused'])
  })

  test('is not acknowledged while the store is away', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'refusing'
    await rig.run(2500)
    expect(await settle(rig, send(rig, rig.nodes[0]!, 'cancel'))).toEqual('refused')
  })
})

describe('a cancellation that overlaps the submission of its job at another node', () => {
  for (const delay of [0, 1, 2, 4, 6, 8, 12, 16, 24]) {
    test(`${delay} ms later leaves no job that runs once it is answered`, async () => {
      const rig = await createSteadyRig({ behaviour: () => ({ duration: 2000, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
      const [follower, other] = rig.nodes.filter(node => node !== rig.decider) as [RigNode, RigNode]
      const submitted = send(rig, follower, 'submit')
      if (delay > 0) await rig.run(delay)
      const answer = await settle(rig, send(rig, other, 'cancel'))
      await rig.run(1500)
      const running = [...rig.fleet.workers.values()].filter(worker => worker.running.size > 0).length
      expect(running).toEqual(0)
      const starts = countStarts(rig)
      await rig.run(COMPLETION_MS)
      expect([countStarts(rig), await rig.phase(other, ID)]).toEqual([starts, submitted() === 'accepted' ? 'cancelled' : 'unknown-job'])
      expect(['cancelled', 'unknown-job'].includes(answer)).toEqual(true)
    })
  }
})

test('a submission that is repeated after its job was accepted, cancelled and archived is answered as accepted, and nothing is started', async () => {
  const rig = await createSteadyRig()
  expect(await settle(rig, send(rig, rig.nodes[0]!, 'submit'))).toEqual('accepted')
  expect(await settle(rig, send(rig, rig.nodes[1]!, 'cancel'))).toEqual('cancelled')
  await rig.run(COMPLETION_MS)
  const starts = countStarts(rig)
  expect(await settle(rig, send(rig, rig.nodes[2]!, 'submit'))).toEqual('accepted')
  await rig.run(COMPLETION_MS)
  expect([countStarts(rig), await rig.phase(rig.nodes[0]!, ID)]).toEqual([starts, 'cancelled'])
})

// Guards against rows of cancellations that no decider removes, because they were written after the job was archived.
test('a cancellation that comes after the end of its job leaves no row behind', async () => {
  const rig = await createSteadyRig()
  await settle(rig, send(rig, rig.nodes[0]!, 'submit'))
  const late = rig.nodes.find(node => node !== rig.decider)!
  const { phase } = late.cell.gateway
  late.cell.gateway.phase = async () => ({ kind: 'phase', phase: 'running' })
  await rig.run(COMPLETION_MS)
  expect(await settle(rig, send(rig, late, 'cancel'))).toEqual('cancelled')
  late.cell.gateway.phase = phase
  await rig.run(COMPLETION_MS)
  expect([...rig.tables.rows.values()].filter(({ table }) => table === 'jobs').map(({ key }) => key)).toEqual([])
})
