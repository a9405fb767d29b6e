import { describe, test } from 'node:test'
import { expect } from 'earl'
import { Gateway } from '../../src/index.js'
import type { Job, PhaseOutcome, RequestOutcome, WaitingLimits } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const LIMIT = 5
const REQUESTS = 8

function jobOf (index: number): Job {
  return { id: index.toString(16).padStart(16, '0'), route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }
}

/** @returns a gateway with low limits at a node without a decider, and the limits that it has reached */
function createGateway (rig: CellRig): { gateway: Gateway, reached: Array<keyof WaitingLimits> } {
  const { store, clock } = rig.nodes[0]!
  const reached: Array<keyof WaitingLimits> = []
  const decider = { query: async () => undefined, announceJob: () => {}, announceCancellation: () => {}, forwardWrite: async () => undefined }
  return { gateway: new Gateway({ store, clock, decider, limits: { waitingWrites: LIMIT, waitingQueries: LIMIT }, onLimit: limit => { reached.push(limit) } }), reached }
}

// Guards against a process that ends at its heap limit, because requests wait for a store that is slow.
describe('requests that wait for the store', () => {
  test('are refused at once above a number, and what is refused is never written', async () => {
    const rig = await createSteadyRig()
    const { gateway, reached } = createGateway(rig)
    rig.nodes[0]!.store.condition = 'slow'
    const outcomes = new Map<number, RequestOutcome>()
    for (let index = 1; index <= REQUESTS; index++) gateway.submit(jobOf(index), rig.clock.now() + 3000).then(outcome => { outcomes.set(index, outcome) }, error => { throw error })
    await rig.run(1)
    expect([...outcomes]).toEqual([6, 7, 8].map(index => [index, { kind: 'refused', reason: 'too many jobs wait to be written', retryAfter: 1 }]))
    expect(reached).toEqual(['waitingWrites', 'waitingWrites', 'waitingWrites'])
    await rig.run(5000)
    expect([1, 2, 3, 4, 5].map(index => outcomes.get(index)!.kind)).toEqual(['accepted', 'accepted', 'accepted', 'accepted', 'accepted'])
    rig.nodes[0]!.store.condition = 'normal'
    for (const index of [6, 7, 8]) expect(await rig.phase(rig.nodes[1]!, jobOf(index).id)).toEqual('unknown-job')
    let again: RequestOutcome | undefined
    gateway.submit(jobOf(6), rig.clock.now() + 3000).then(outcome => { again = outcome }, error => { throw error })
    await rig.run(1000)
    expect(again?.kind).toEqual('accepted')
  })

  test('are busy above the number when another node has forwarded them', async () => {
    const rig = await createSteadyRig()
    const { gateway, reached } = createGateway(rig)
    rig.nodes[0]!.store.condition = 'slow'
    const outcomes: string[] = []
    for (let index = 1; index <= REQUESTS; index++) gateway.write({ kind: 'job', job: jobOf(index) }, rig.clock.now() + 3000).then(outcome => { outcomes.push(outcome) }, error => { throw error })
    await rig.run(1)
    expect(outcomes).toEqual(['busy', 'busy', 'busy'])
    expect(reached.length).toEqual(3)
  })

  test('are refused above a number of queries', async () => {
    const rig = await createSteadyRig()
    const { gateway, reached } = createGateway(rig)
    const outcomes: PhaseOutcome[] = []
    for (let index = 1; index <= REQUESTS; index++) gateway.phase(jobOf(index).id).then(outcome => { outcomes.push(outcome) }, error => { throw error })
    await rig.run(0)
    expect(outcomes).toEqual(Array.from({ length: 3 }, () => ({ kind: 'refused', reason: 'too many queries wait', retryAfter: 1 })))
    expect(reached).toEqual(['waitingQueries', 'waitingQueries', 'waitingQueries'])
    await rig.run(1000)
    expect(outcomes.slice(3).map(({ kind }) => kind)).toEqual(Array.from({ length: 5 }, () => 'unknown-job'))
  })
})
