import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Step } from '../../src/index.js'
import { submissionRowName } from '../../src/runtime/rowNames.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig, RigOptions } from '../support/CellRig.js'

const ADVICE = { base: 20, perWorker: 0, validity: 1500 }

interface ReportedWait {
  reason: unknown
  waiting: unknown
  fitting: unknown
}

/** Submits a job that can't start, and returns what the decider logs about the wait. */
async function reportWait (options: RigOptions, step: Partial<Step>): Promise<ReportedWait> {
  const rig = await createSteadyRig(options)
  await rig.submit(rig.nodes[0]!, [step])
  return await reportedWait(rig)
}

async function reportedWait (rig: CellRig): Promise<ReportedWait> {
  await rig.run(5000)
  const line = rig.decider!.log.lines.find(({ event }) => event.name === 'step-waits')
  return { reason: line?.fields?.reason, waiting: line?.fields?.waiting, fitting: line?.fields?.fitting }
}

// Guards against a job that stands still without a line in any log: on-call can't tell a full cell from a lost step.
describe('a step that is not placed', () => {
  test('for lack of room is reported with the reason no-room', async () => {
    expect(await reportWait({ workers: 2, cpu: 4000 }, { size: { cpu: 5000, memory: 1, accelerators: 0 } })).toEqual({ reason: 'no-room', waiting: 1, fitting: 0 })
  })

  test('because its gang does not fit as a whole is reported with the room for single members', async () => {
    expect(await reportWait({ workers: 2, cpu: 4000 }, { count: 10, gang: true })).toEqual({ reason: 'no-room', waiting: 10, fitting: 8 })
  })

  test('because the advice service allows no worker is reported with the reason no-worker', async () => {
    expect(await reportWait({ workers: 2, advice: () => 20, route: { advice: ADVICE }, allows: () => false }, {})).toEqual({ reason: 'no-worker', waiting: 1, fitting: 0 })
  })

  test('because the advice service is slow is reported with the reason advice-pending', async () => {
    expect(await reportWait({ workers: 2, advice: () => 9000, route: { advice: { ...ADVICE, base: 9000 } } }, {})).toEqual({ reason: 'advice-pending', waiting: 1, fitting: 8 })
  })

  test('because no decider has known its route is reported with the reason no-route', async () => {
    const rig = await createSteadyRig({ workers: 2 })
    const id = 'a'.repeat(16)
    // A row of an earlier version, which lacks the terms of its route.
    rig.tables.put(submissionRowName(id), JSON.stringify({ id, route: 'unknown', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }))
    expect(await reportedWait(rig)).toEqual({ reason: 'no-route', waiting: 1, fitting: 0 })
  })

  test('is reported ever less often', async () => {
    const rig = await createSteadyRig({ workers: 1, cpu: 500 })
    await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(40_000)
    expect(rig.decider!.log.lines.filter(({ event }) => event.name === 'step-waits').length).toEqual(5)
  })

  test('is not reported once it has been placed', async () => {
    const rig = await createSteadyRig({ workers: 1 })
    await rig.submit(rig.nodes[0]!, [{}])
    await rig.run(10_000)
    expect(rig.decider!.log.lines.some(({ event }) => event.name === 'step-waits')).toEqual(false)
  })
})
