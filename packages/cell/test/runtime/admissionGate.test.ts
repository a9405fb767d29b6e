import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigOptions } from '../support/CellRig.js'

const HOUR_MS = 3_600_000

/** @returns a cell of four cores in which an hour of work of the least urgent priority waits, and has for a while */
async function createBackloggedRig (options: RigOptions = {}): Promise<CellRig> {
  const rig = await createSteadyRig({
    refuses: true,
    workers: 1,
    route: { priority: 0 },
    others: [{ name: 'batch', priority: 1 }],
    behaviour: () => ({ duration: HOUR_MS, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }),
    ...options
  })
  await rig.submit(rig.nodes[0]!, [{ count: 8, estimate: HOUR_MS }], 'batch')
  await rig.submit(rig.nodes[0]!, [{}], 'batch')
  await rig.run(11_000)
  return rig
}

describe('admission by the backlog of the decider', () => {
  test('refuses at every node a job that would end too late, and never runs it', async () => {
    // Guards against nodes that accept without bound what nobody can use, and against a refusal that isn't true.
    const rig = await createBackloggedRig()
    for (const node of rig.nodes) {
      const { id, outcome } = await rig.submit(node, [{}], 'batch')
      expect(outcome.kind === 'refused' && outcome.retryAfter! >= 1).toEqual(true)
      await rig.run(500)
      expect(await rig.phase(node, id)).toEqual('unknown-job')
    }
    expect(rig.nodes.map(({ cell }) => cell.admission.refusals.get('1 '))).toEqual([1, 1, 1])
  })

  test('accepts urgent jobs', async () => {
    // Guards against urgent work that is refused because of the batches of others.
    const rig = await createBackloggedRig()
    expect((await rig.submit(rig.nodes[1]!, [{}])).outcome.kind).toEqual('accepted')
  })

  test('accepts everything where it is not enabled', async () => {
    // Guards against a change for deployments without organisations.
    const rig = await createBackloggedRig({ refuses: false })
    expect((await rig.submit(rig.nodes[1]!, [{}], 'batch')).outcome.kind).toEqual('accepted')
  })

  test('accepts everything after a takeover, until the successor has measured its backlog', async () => {
    // Guards against refusals by the report of a decider that is gone.
    const rig = await createBackloggedRig()
    const decider = rig.decider!
    rig.kill(decider)
    await rig.until(() => rig.decider !== undefined && rig.decider !== decider)
    await rig.run(2000)
    expect((await rig.submit(rig.decider!, [{}], 'batch')).outcome.kind).toEqual('accepted')
  })

  test('does not refuse a job that an earlier request has submitted', async () => {
    // Guards against a refusal of a job that runs.
    const rig = await createBackloggedRig()
    const node = rig.nodes[1]!
    const job = [...rig.decider!.cell.activeDecider!.registry.jobs.values()][1]!.job
    let kind: string | undefined
    node.cell.gateway.submit(job, rig.clock.now() + 2000).then(outcome => { kind = outcome.kind }, error => { throw error })
    await rig.until(() => kind !== undefined)
    expect(kind).toEqual('accepted')
  })
})
