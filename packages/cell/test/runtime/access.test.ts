import { describe, test } from 'node:test'
import { expect } from 'earl'
import { Metrics } from '@rattanstep/telemetry'
import { AccessControl } from '../../src/index.js'
import type { Credential, Organisation } from '../../src/index.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'

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

describe('a key', () => {
  // Guards against requests that run without a valid key, and against routes that refuse callers who need none.
  test('is required and must be valid, except that a route may need none', async () => {
    const rig = await createSteadyRig({ organisations: [ACME], others: [{ name: 'open', prefix: '/open/', allowsAnonymous: true }] })
    const [node] = rig.nodes as [RigNode]
    expect((['acme-1', 'acme-2', { kind: 'none' }, { kind: 'malformed' }] as const).map(key => statusAt(node, key))).toEqual([200, 401, 401, 401])
    const open = node.access.admit({ host: 'h', path: '/open/1', credential: { kind: 'none' } })
    expect(open.kind === 'admitted' && open.organisation === undefined).toEqual(true)
    expect(node.access.admit({ host: 'other', path: '/1', credential: { kind: 'none' } })).toEqual({ kind: 'refused', status: 404, reason: 'no such route' })
    rig.configure(2, {}, [], undefined)
    await rig.run(APPLY_LIMIT_MS)
    expect(statusAt(node, { kind: 'none' })).toEqual(401)
  })

  // Guards against 401 or 404 by a node that has started while the store does not answer.
  test('is answered by 503 at a node that has no configuration', () => {
    const access = new AccessControl({ configuration: () => undefined, isConfirmed: () => true, metrics: new Metrics() })
    expect(access.admit({ host: 'h', path: '/1', credential: { kind: 'key', key: 'acme-1' } })).toEqual({ kind: 'refused', status: 503, reason: 'no configuration yet', retryAfter: 1 })
  })

  // Guards against refusals that no metric shows, and against a series for each key.
  test('that is refused is counted by status and reason', async () => {
    const rig = await createSteadyRig({ organisations: [ACME] })
    const node = rig.nodes[0]!
    for (const key of ['a', 'b', 'acme-1', { kind: 'none' }] as const) statusAt(node, key)
    expect(node.metrics.snapshot()).toEqual([
      { kind: 'counter', name: 'access_refusals', labels: { status: '401', reason: 'unknown key' }, value: 2 },
      { kind: 'counter', name: 'access_refusals', labels: { status: '401', reason: 'no key' }, value: 1 }
    ])
  })

  // Guards against deployments without organisations that refuse their callers.
  test('is not required where the configuration names no organisations', async () => {
    const rig = await createSteadyRig()
    expect((['x', { kind: 'none' }, { kind: 'malformed' }] as const).map(key => statusAt(rig.nodes[0]!, key))).toEqual([200, 200, 200])
  })

  // Guards against revoked keys that are served and new ones that are refused, while the store refuses some nodes and the decider is replaced.
  const cases: Array<[string, (rig: CellRig) => void]> = [
    ['refuses a third of the nodes', () => {}],
    ['refuses a third of the nodes and the decider is killed', rig => { rig.kill(rig.decider!) }],
    ['refuses a third of the nodes and the decider, which hands over', rig => { rig.decider!.store.condition = 'resetting' }]
  ]
  for (const [name, replace] of cases) {
    test(`is revoked and added in time while the store ${name}`, async () => {
      const rig = await createSteadyRig({ nodes: 9, organisations: [ACME] })
      for (const { store } of rig.nodes.filter(node => node !== rig.decider).slice(-3)) store.condition = 'resetting'
      await rig.run(1000)
      expect(rig.nodes.map(node => [statusAt(node, 'acme-1'), statusAt(node, 'acme-2')])).toEqual(rig.nodes.map(() => [200, 401]))
      rig.configure(4, {}, [], [{ ...ACME, keys: ['acme-2'] }])
      replace(rig)
      await rig.run(APPLY_LIMIT_MS)
      const running = rig.nodes.filter(node => !node.clock.isDead)
      expect(running.map(node => [statusAt(node, 'acme-1'), statusAt(node, 'acme-2')])).toEqual(running.map(() => [401, 200]))
    })
  }

  // Guards against a malformed version by which all callers are refused or none needs a key.
  test('stays valid when a later configuration is malformed', async () => {
    const rig = await createSteadyRig({ organisations: [ACME] })
    rig.tables.put({ table: 'op', part: '', key: 'config' }, 'no object')
    await rig.run(APPLY_LIMIT_MS)
    expect(rig.nodes.flatMap(node => [statusAt(node, 'acme-1'), statusAt(node, 'other')])).toEqual([200, 401, 200, 401, 200, 401])
  })
})

describe('a job of an organisation', () => {
  // Guards against a successor that counts the job for no organisation, or without a cap, because the configuration no longer names the organisation.
  test('keeps its organisation and cap through a takeover after the organisation was removed', async () => {
    const size = { cpu: 1000, memory: 100, accelerators: 0 }
    const rig = await createSteadyRig({ organisations: [{ ...ACME, cap: { ...NO_LIMIT, cpu: 2000 } }, { ...ACME, name: 'other', keys: ['other-1'] }], behaviour: () => ({ duration: 300, ending: 'done', size }) })
    const admission = rig.nodes[0]!.access.admit({ host: 'h', path: '/1', credential: { kind: 'key', key: 'acme-1' } })
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 20 }], 'r', admission.kind === 'admitted' ? admission.organisation?.name : undefined)
    await rig.run(300)
    rig.configure(2, {}, [], [{ ...ACME, name: 'other', keys: ['other-1'] }])
    await rig.run(500)
    rig.kill(rig.decider!)
    await rig.until(() => rig.decider !== undefined)
    expect(rig.decider!.cell.activeDecider!.registry.jobs.get(id)?.job.organisation).toEqual('acme')
    let most = 0
    for (let time = 0; time < 6000; time += 10) {
      most = Math.max(most, [...rig.fleet.workers.values()].reduce((sum, { usedCapacity }) => sum + usedCapacity.cpu, 0))
      await rig.run(10)
    }
    expect([most, ...await rig.phases([id])]).toEqual([2000, 'completed'])
  })
})
