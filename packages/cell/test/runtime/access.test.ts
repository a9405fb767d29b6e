import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Credential, Organisation } from '../../src/index.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { RigNode } from '../support/CellRig.js'

const NO_LIMIT = { cpu: 0, memory: 0, accelerators: 0 }
const ACME: Organisation = { name: 'acme', keys: ['acme-1'], weight: 1, cap: NO_LIMIT }

/** Time within which a version must be in force at every node, and within which an outage of the store is noticed. */
const APPLY_LIMIT_MS = 3000

/** @returns status of a request as far as it depends on route and key; 200 if it is admitted */
function statusAt (node: RigNode, key: string | Credential): number {
  const credential: Credential = typeof key === 'string' ? { kind: 'key', key } : key
  const admission = node.access.admit({ host: 'h', path: '/1', credential })
  return admission.kind === 'admitted' ? 200 : admission.status
}

describe('an unknown key', () => {
  // Guards against callers with a wrong key that are told to try again for ever, because a confirmation is too old between two polls or heartbeats.
  test('is refused for good at every moment by every node, also where only the links tell the version', async () => {
    const rig = await createSteadyRig({ nodes: 15, organisations: [ACME] })
    for (const { store } of rig.nodes.filter(node => node !== rig.decider).slice(-5)) store.condition = 'resetting'
    await rig.run(APPLY_LIMIT_MS)
    const statuses = new Set<number>()
    for (let time = 0; time < 6000; time += 10) {
      for (const node of rig.nodes) statuses.add(statusAt(node, 'other'))
      await rig.run(10)
    }
    expect([...statuses]).toEqual([401])
  })

  // Guards against 401 for a new key during an outage, after which its caller gives up, and against an outage of the store that ends the service.
  test('is answered by 503 while no node can reach the store, and known keys are served', async () => {
    const rig = await createSteadyRig({ organisations: [ACME] })
    for (const { store } of rig.nodes) store.condition = 'silent'
    rig.configure(2, {}, [], [ACME, { ...ACME, name: 'new', keys: ['new-1'] }])
    await rig.run(APPLY_LIMIT_MS)
    expect(rig.nodes.map(node => node.access.admit({ host: 'h', path: '/1', credential: { kind: 'key', key: 'new-1' } })))
      .toEqual(rig.nodes.map(() => ({ kind: 'refused', status: 503, reason: 'unknown key, and the configuration may be outdated', retryAfter: 1 })))
    expect(rig.nodes.map(node => statusAt(node, 'acme-1'))).toEqual([200, 200, 200])
    for (const { store } of rig.nodes) store.condition = 'normal'
    await rig.run(APPLY_LIMIT_MS)
    expect(rig.nodes.flatMap(node => [statusAt(node, 'new-1'), statusAt(node, 'other')])).toEqual([200, 401, 200, 401, 200, 401])
  })

  // Guards against 401 for a new key at a node that is cut off and counts an earlier confirmation as valid.
  test('is answered by 503 at a node that has lost the store and its links, and by 401 at the others', async () => {
    const rig = await createSteadyRig({ organisations: [ACME] })
    const cut = rig.nodes.find(node => node !== rig.decider)!
    rig.cutOffZone([cut], [])
    await rig.run(APPLY_LIMIT_MS)
    expect(rig.nodes.map(node => statusAt(node, 'other'))).toEqual(rig.nodes.map(node => node === cut ? 503 : 401))
    expect(statusAt(cut, 'acme-1')).toEqual(200)
  })
})
