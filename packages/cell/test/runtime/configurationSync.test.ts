import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { MemoryLog } from '@rattanstep/telemetry'
import { Ok } from 'ts-results-es'
import type { Configuration, ConfigurationMessage, FollowerLink } from '../../src/index.js'
import { ConfigurationFeed } from '../../src/runtime/ConfigurationFeed.js'
import { ConfigurationSync } from '../../src/runtime/ConfigurationSync.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig, RigNode } from '../support/CellRig.js'
import { FakeStore, FakeTables } from '../support/FakeStore.js'
import type { StoreCondition } from '../support/FakeStore.js'
import { NodeClock } from '../support/NodeClock.js'

/** Time within which a version must be in force at every node. */
const APPLY_LIMIT_MS = 3000

function versions (nodes: RigNode[]): Array<number | undefined> {
  return nodes.map(node => node.cell.configuration?.version)
}

/** Makes the store unavailable to a third of the nodes, none of which is the decider. */
function cutThird (rig: CellRig, condition: StoreCondition): RigNode[] {
  const cut = rig.nodes.filter(node => node !== rig.decider).slice(-Math.floor(rig.nodes.length / 3))
  for (const { store } of cut) store.condition = condition
  return cut
}

describe('a version of the configuration', () => {
  // Guards against nodes that serve revoked keys, because the store does not answer them for longer than a version may take.
  for (const condition of ['resetting', 'silent'] as const) {
    test(`reaches the nodes at which the store is ${condition}, distant followers too`, async () => {
      const rig = await createSteadyRig({ nodes: 15 })
      const cut = cutThird(rig, condition)
      await rig.run(1500)
      rig.configure(5)
      await rig.run(APPLY_LIMIT_MS)
      expect(versions(cut)).toEqual(cut.map(() => 5))
      expect(cut.map(node => node.log.lines.some(({ event, fields }) => event.name === 'configuration-in-force' && fields.version === 5 && fields.source === 'link'))).toEqual(cut.map(() => true))
    })
  }

  // Guards against a decider that starts work by former caps, because the store stopped answering it first and then the others.
  test('reaches a decider that the store does not answer from a follower', async () => {
    const rig = await createSteadyRig()
    const decider = rig.decider!
    decider.store.condition = 'silent'
    rig.configure(5)
    await rig.run(100)
    for (const { store } of rig.nodes) store.condition = 'silent'
    await rig.run(APPLY_LIMIT_MS)
    expect(decider.cell.activeDecider === undefined).toEqual(false)
    expect(versions(rig.nodes)).toEqual([5, 5, 5])
  })

  // Guards against a load on links and store that grows with the number of versions, and against a node that goes back.
  test('of a burst costs each node at most one request in 0.4 s, and no node goes back', async () => {
    const rig = await createSteadyRig({ nodes: 6 })
    const cut = cutThird(rig, 'resetting')
    const quietMessages = await countMessages(rig, 6000)
    const seen = cut.map(() => 0)
    const burst = countMessages(rig, 6000, time => {
      if (time % 330 === 0) rig.configure(2 + time / 330)
      for (const [index, version] of versions(cut).entries()) {
        expect(version! >= seen[index]!).toEqual(true)
        seen[index] = version!
      }
    })
    expect(await burst - quietMessages).toBeLessThan(cut.length * 2 * (6000 / 400 + 1) + 1)
    await rig.run(APPLY_LIMIT_MS)
    expect(versions(rig.nodes)).toEqual(rig.nodes.map(() => 20))
  })

  // Guards against a rolling update that stops the nodes that have been updated, or lets them refuse keys for good by what an earlier node tells.
  test('does not reach a node that the store refuses from a decider of the earlier program, and the node goes on', async () => {
    const rig = await createSteadyRig()
    rig.decider!.endpoint.isEarlierVersion = true
    const cut = rig.nodes.find(node => node !== rig.decider)!
    cut.store.condition = 'resetting'
    rig.configure(5)
    await rig.run(APPLY_LIMIT_MS)
    expect(rig.nodes.map(node => [node.cell.configuration?.version, node.cell.isConfigurationConfirmed])).toEqual(rig.nodes.map(node => node === cut ? [1, false] : [5, true]))
    const { id, outcome } = await rig.submit(cut, [{ count: 2 }])
    expect(outcome.kind).toEqual('accepted')
    await rig.run(2000)
    expect(await rig.phases([id])).toEqual(['completed'])
  })

  // Guards against connections to no address, repeated until the store answers, of a node that is told of a new term by a node of the earlier program, which sends no address.
  test('reaches a node again that was told of a new term without an address while the store refused it', async () => {
    const rig = await createSteadyRig()
    const cut = rig.nodes.find(node => node !== rig.decider)!
    cut.store.condition = 'resetting'
    const link: Pick<FollowerLink, 'onMessage' | 'close'> = { onMessage: () => {}, close: () => {} }
    cut.cell.acceptLink(link as FollowerLink)
    link.onMessage({ kind: 'claimed', fence: 1_000_000 })
    rig.configure(5)
    await rig.run(1000)
    cut.store.condition = 'normal'
    await rig.run(APPLY_LIMIT_MS)
    expect(versions(rig.nodes)).toEqual([5, 5, 5])
    expect(cut.log.lines.filter(({ event }) => event.name === 'decider-lost' || event.name === 'cell-fault').map(({ fields }) => fields)).toEqual([])
  })

  // Guards against the loss of the last valid version, and against a line of the log for each heartbeat.
  test('that is malformed is logged once, and the former version stays in force', async () => {
    const rig = await createSteadyRig()
    rig.tables.put({ table: 'op', part: '', key: 'config' }, 'no object')
    await rig.run(APPLY_LIMIT_MS)
    rig.tables.dropHistory()
    await rig.run(APPLY_LIMIT_MS)
    expect(versions(rig.nodes)).toEqual([1, 1, 1])
    for (const { log } of rig.nodes) expect(log.lines.filter(({ event }) => event.name === 'row-unreadable').map(({ fields }) => fields)).toEqual([{ key: 'config', problem: 'the row is not a JSON object' }])
  })
})

async function countMessages (rig: CellRig, duration: number, onTick: (time: number) => void = () => {}): Promise<number> {
  const before = rig.messages
  for (let time = 0; time < duration; time += 10) {
    onTick(time)
    await rig.run(10)
  }
  return rig.messages - before
}

function createSync (condition: StoreCondition): { sync: ConfigurationSync, feed: ConfigurationFeed, store: FakeStore, clock: FakeClock } {
  const clock = new FakeClock({ start: 1000 })
  const store = new FakeStore(new FakeTables(), new NodeClock(clock), clock)
  store.condition = condition
  const log = new MemoryLog()
  const feed = new ConfigurationFeed({ store, clock, log, parse: value => Ok(JSON.parse(value) as Configuration) })
  feed.apply(JSON.stringify({ version: 3, routes: [], maxBody: 1 }), 'store')
  return { sync: new ConfigurationSync({ feed, store, clock, log }), feed, store, clock }
}

describe('a node that hears of a newer version', () => {
  // Guards against requests for each heartbeat to nodes of the earlier version of the program, which ignore them.
  test('asks ever more rarely while it gets no answer, and anew for the next version', async () => {
    const { sync, clock } = createSync('resetting')
    const sent: ConfigurationMessage[] = []
    const hear = async (version: number): Promise<void> => {
      sync.handleVersion({ version }, message => { sent.push(message) })
      await clock.advance(120)
    }
    for (let beats = 0; beats < 100; beats++) await hear(4)
    expect(sent).toEqual(Array.from({ length: 6 }, () => ({ kind: 'configuration-wanted', newerThan: 3 })))
    for (let beats = 0; beats < 5; beats++) await hear(5)
    expect(sent.length).toEqual(7)
  })

  // Guards against a version that comes late because of reads that wait for a silent store, and against reads that pile up there.
  test('asks soon while the store is silent, and for the next version as soon as it has an answer', async () => {
    const { sync, clock, store } = createSync('silent')
    const sent: ConfigurationMessage[] = []
    const hear = async (version: number): Promise<void> => {
      sync.handleVersion({ version }, message => { sent.push(message) })
      await clock.advance(400)
    }
    for (const version of [4, 5, 6]) {
      await hear(version)
      sync.handleMessage({ kind: 'configuration-text', text: JSON.stringify({ version, routes: [], maxBody: 1 }) }, 'n1', () => {})
      await clock.advance(10)
    }
    expect(sent).toEqual([3, 4, 5].map(newerThan => ({ kind: 'configuration-wanted', newerThan })))
    expect(store.mostConcurrentReads).toEqual(1)
  })

  // Guards against traffic on the links that the store makes needless, and against a version that is undefined.
  test('asks nobody if the store answers, or if the version is not newer', async () => {
    const sent: ConfigurationMessage[] = []
    for (const [condition, version] of [['normal', 4], ['resetting', 3], ['resetting', undefined]] as const) {
      const { sync, clock } = createSync(condition)
      sync.handleVersion({ version }, message => { sent.push(message) })
      await clock.advance(1000)
    }
    expect(sent).toEqual([])
  })

  // Guards against 401 for a key that a version adds which the node has heard of and not got yet, and against a confirmation by a decider that has
  // another version, or that does not say how old its own confirmation is.
  test('counts its version as confirmed only by the same version with a recent confirmation', async () => {
    const { sync, feed, store } = createSync('silent')
    const hear = (version: number, age?: number): boolean => {
      sync.handleVersion({ version, confirmedAt: age === undefined ? undefined : store.now() - age }, () => {})
      return sync.isConfirmed
    }
    expect([sync.isConfirmed, hear(3), hear(3, 2701), hear(2, 0), hear(3, 2600), hear(4, 0)]).toEqual([false, false, false, false, true, false])
    feed.apply(JSON.stringify({ version: 4, routes: [], maxBody: 1 }), 'link')
    expect(sync.isConfirmed).toEqual(true)
  })

  // Guards against 401 by a node that was paused, or whose link was, and then reads old heartbeats as if they were sent now, or that knows no time.
  test('does not count a heartbeat as a confirmation that has been under way for long, or before it knows the time of the store', async () => {
    const { sync, clock, store } = createSync('silent')
    const sentAt = store.now()
    await clock.advance(6000)
    sync.handleVersion({ version: 3, confirmedAt: sentAt }, () => {})
    expect(sync.isConfirmed).toEqual(false)
    sync.handleVersion({ version: 3, confirmedAt: store.now() }, () => {})
    expect([sync.isConfirmed, sync.confirmedAt]).toEqual([true, store.now()])
    store.now = () => 0
    expect([sync.isConfirmed, sync.confirmedAt]).toEqual([false, undefined])
  })

  // Guards against 401 for a key that was stored while an answer was on its way, or while a change feed had stopped delivering changes.
  test('counts an answer of the store as a confirmation from the time of the request', async () => {
    const { feed, store, clock } = createSync('silent')
    const read = async (after: () => void): Promise<number> => {
      const answer = feed.refresh()
      after()
      await clock.advance(1500)
      await answer
      return clock.now() - feed.confirmedAt
    }
    expect(await read(() => {})).toEqual(Infinity)
    store.condition = 'slow'
    expect(await read(() => { store.condition = 'silent' })).toEqual(1500)
    store.condition = 'normal'
    const started = feed.start()
    await clock.advance(980)
    await started
    expect(clock.now() - feed.confirmedAt).toEqual(1500 + 980)
    await clock.advance(100)
    expect(clock.now() - feed.confirmedAt).toBeLessThan(1100)
    feed.stop()
  })

  // Guards against a node that goes back to a version with revoked keys, and against a fault by a message without a text.
  test('ignores texts that are older, malformed or missing', () => {
    const { sync, feed } = createSync('resetting')
    const send = (): void => { throw new Error('nothing is to be sent') }
    sync.handleMessage({ kind: 'configuration-text', text: JSON.stringify({ version: 2, routes: [], maxBody: 1 }) }, 'n1', send)
    sync.handleMessage({ kind: 'configuration-text' } as unknown as ConfigurationMessage, 'n1', send)
    sync.handleMessage({ kind: 'configuration-wanted', newerThan: 3 }, 'n1', send)
    expect(feed.currentVersion).toEqual(3)
  })
})
