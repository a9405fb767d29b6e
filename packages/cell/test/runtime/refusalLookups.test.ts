import { describe, test } from 'node:test'
import { expect } from 'earl'
import { Gateway } from '../../src/index.js'
import type { Job, RequestOutcome } from '../../src/index.js'
import type { OpenJobGate } from '../../src/openJobs/OpenJobGate.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

const REQUESTS = 50
const DEADLINE_MS = 3000

function jobOf (index: number): Job {
  return { id: index.toString(16).padStart(16, '0'), route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }
}

describe('submissions for which there is no room', () => {
  // Guards against callers that wait until their deadline for a refusal, because few lookups of earlier submissions are under way at a time.
  test('are refused in time while the store is slow', async () => {
    const rig = await createSteadyRig()
    const { store, clock, cell: { gateway: open } } = rig.nodes[0]!
    open.submit(jobOf(1), rig.clock.now() + DEADLINE_MS).catch(error => { throw error })
    await rig.run(100)
    const decider = { query: async () => undefined, announceJob: () => {}, announceCancellation: () => {}, forwardWrite: async () => undefined }
    const full = { judge: () => ({ used: 1, usedByHolder: 1, limit: 1, retryAfter: 2 }), note: () => {} } as unknown as OpenJobGate
    const gateway = new Gateway({ store, clock, decider, openJobGate: full })
    store.condition = 'slow'
    const outcomes: RequestOutcome[] = []
    for (let index = 1; index <= REQUESTS; index++) gateway.submit(jobOf(index), rig.clock.now() + DEADLINE_MS).then(outcome => { outcomes.push(outcome) }, error => { throw error })
    await rig.run(DEADLINE_MS)
    expect(outcomes.filter(({ kind }) => kind === 'accepted').length).toEqual(1)
    expect(outcomes.filter(({ kind }) => kind === 'refused').length).toEqual(REQUESTS - 1)
  })
})
