import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FENCE_STEP } from '../../src/types/limits.js'
import { createSteadyRig, CellRig } from '../support/CellRig.js'
import type { RigNode } from '../support/CellRig.js'

/** Maximum time from the last start by the old decider to the first start by the new one, after a kill and after a power cut. */
const MAX_GAP_AFTER_KILL_MS = 300
const MAX_GAP_AFTER_POWER_CUT_MS = 1000

async function createBusyRig (): Promise<{ rig: CellRig, decider: RigNode, follower: RigNode, ids: string[] }> {
  const rig = new CellRig({ behaviour: () => ({ duration: 100, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
  await rig.until(() => rig.decider !== undefined)
  await rig.run(500)
  const decider = rig.decider!
  const follower = rig.nodes.find(node => node !== decider)!
  const ids: string[] = []
  for (let index = 0; index < 12; index++) ids.push((await rig.submit(follower, [{ count: 30 }, { after: [0], count: 20 }])).id)
  return { rig, decider, follower, ids }
}

async function expectCompletion (rig: CellRig, ids: string[]): Promise<void> {
  await rig.run(20_000)
  expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
  expect(rig.fleet.violations).toEqual([])
}

describe('a takeover', () => {
  test('does not happen without a fault, and all jobs complete', async () => {
    const { rig, ids } = await createBusyRig()
    await expectCompletion(rig, ids)
  })

  test('follows a kill of the decider within its time limit and repeats no task', async () => {
    const { rig, decider, ids } = await createBusyRig()
    rig.kill(decider)
    const last = rig.fleet.lastStart
    await rig.until(() => rig.fleet.lastStart > last)
    expect(rig.fleet.lastStart - last).toBeLessThan(MAX_GAP_AFTER_KILL_MS + 1)
    await expectCompletion(rig, ids)
    expect(Math.max(...rig.fleet.starts.values())).toEqual(1)
  })

  test('follows a power cut of the decider within its time limit', async () => {
    const { rig, decider, ids } = await createBusyRig()
    rig.powerOff(decider)
    const last = rig.fleet.lastStart
    await rig.until(() => rig.fleet.lastStart > last)
    expect(rig.fleet.lastStart - last).toBeLessThan(MAX_GAP_AFTER_POWER_CUT_MS + 1)
    await expectCompletion(rig, ids)
  })

  test('makes a frozen decider harmless when it thaws', async () => {
    const { rig, decider, ids } = await createBusyRig()
    decider.clock.freeze()
    await rig.until(() => rig.nodes.some(node => node !== decider && node.cell.activeDecider?.isReady === true))
    decider.clock.thaw()
    await expectCompletion(rig, ids)
    expect(decider.cell.activeDecider).toEqual(undefined)
  })

  test('happens when only the decider is cut off from the store', async () => {
    const { rig, decider, ids } = await createBusyRig()
    decider.store.condition = 'silent'
    await rig.until(() => rig.nodes.some(node => node !== decider && node.cell.activeDecider?.isReady === true), 4000)
    await expectCompletion(rig, ids)
  })

  test('interrupts nothing at a planned stop', async () => {
    const { rig, decider, ids } = await createBusyRig()
    const done = decider.cell.handOver(5000)
    await rig.until(() => rig.nodes.some(node => node !== decider && node.cell.activeDecider?.isReady === true), 200)
    await rig.run(1000)
    await done
    await expectCompletion(rig, ids)
    expect(Math.max(...rig.fleet.starts.values())).toEqual(1)
  })

  // Guards against a series of takeovers in a rolling restart, which happens if the term is handed to nodes that are yet to be restarted.
  test('selects a node that has been restarted already when all nodes are restarted one after the other', async () => {
    const rig = await createSteadyRig({ nodes: 6 })
    const first = rig.tables.rows.get('term/d/term')!.value
    const decider = rig.decider!
    for (const name of [decider.name, ...rig.nodes.filter(node => node !== decider).map(node => node.name)]) {
      const node = rig.nodes.find(each => each.name === name)!
      const done = node.cell.handOver(2000)
      await rig.run(600)
      await done
      rig.kill(node)
      await rig.run(400)
      rig.addNode(name)
      await rig.run(1000)
    }
    const termOf = (row: string): number => (JSON.parse(row) as { fence: number }).fence / FENCE_STEP
    expect(termOf(rig.tables.rows.get('term/d/term')!.value) - termOf(first)).toBeLessThan(3)
  })

  test('does not happen when only one follower loses its link to the decider', async () => {
    const { rig, decider, follower, ids } = await createBusyRig()
    follower.endpoint.isSilenced = true
    await rig.run(4000)
    expect(rig.decider).toEqual(decider)
    follower.endpoint.isSilenced = false
    await expectCompletion(rig, ids)
  })

  test('follows the simultaneous loss of all processes', async () => {
    const { rig, ids } = await createBusyRig()
    for (const node of [...rig.nodes]) rig.kill(node)
    await rig.run(800)
    for (const node of [...rig.nodes]) rig.addNode(node.name)
    await expectCompletion(rig, ids)
  })

  // Guards against followers that join late when all processes start at once: each node adds capacity for calls to the advice service.
  test('has all nodes follow soon after the claim when all processes were lost', async () => {
    const rig = await createSteadyRig({ nodes: 9 })
    const last = rig.decider!
    for (const node of [...rig.nodes]) rig.kill(node)
    await rig.run(800)
    for (const node of rig.nodes.filter(each => each !== last)) {
      rig.addNode(node.name)
      await rig.run(10)
    }
    rig.addNode(last.name)
    await rig.until(() => rig.decider !== undefined)
    await rig.run(150)
    const following = rig.nodes.filter(node => node.log.lines.some(({ event }) => event.name === 'decider-followed'))
    expect(following.length).toEqual(8)
  })

  // Guards against a series of takeovers without any fault: a decider under load is silent for longer than a link's timeout and is replaced,
  // the backlog of the takeover makes its successor silent in turn, and nothing runs any more.
  test('does not follow another while every decider is silent for most of each second', async () => {
    const rig = await createSteadyRig({ nodes: 6 })
    const currentTerm = (): number => (JSON.parse(rig.tables.rows.get('term/d/term')!.value) as { fence: number }).fence / FENCE_STEP
    const first = currentTerm()
    for (let second = 0; second < 20; second++) {
      const busy = rig.nodes.find(node => node.cell.activeDecider !== undefined)
      busy?.clock.freeze()
      await rig.run(750)
      busy?.clock.thaw()
      await rig.run(250)
    }
    // Two takeovers are forgotten after 10 s.
    expect(currentTerm() - first).toBeLessThan(6)
    const { outcome } = await rig.submit(rig.nodes[0]!, [{}])
    expect(outcome.kind).toEqual('accepted')
  })

  // The same on slow links: a decider that has just claimed the term is silent while it reads the records, for longer than its followers wait.
  test('does not follow another while every new decider needs 2.5 s to catch up', async () => {
    const rig = await createSteadyRig({ nodes: 6 })
    const currentTerm = (): number => (JSON.parse(rig.tables.rows.get('term/d/term')!.value) as { fence: number }).fence / FENCE_STEP
    const first = currentTerm()
    let caughtUp = 0
    for (let step = 0; step < 400; step++) {
      const term = currentTerm()
      const decider = rig.nodes.find(node => node.cell.activeDecider !== undefined && (JSON.parse(rig.tables.rows.get('term/d/term')!.value) as { node: string }).node === node.name)
      if (decider !== undefined && term > caughtUp) {
        caughtUp = term
        decider.clock.freeze()
        rig.clock.schedule(2500, () => { decider.clock.thaw() })
      }
      await rig.run(50)
    }
    expect(currentTerm() - first).toBeLessThan(6)
    await rig.run(1000)
    expect((await rig.submit(rig.decider!, [{}])).outcome.kind).toEqual('accepted')
  })

  // A decider that reads the records over a slow link receives everything else late. If it then takes its followers for dead and closes their
  // links, they take it for dead.
  test('does not happen while everything reaches the decider 1.5 s late, and no follower is given up', async () => {
    const rig = await createSteadyRig({ nodes: 6 })
    const decider = rig.decider!
    decider.endpoint.inboundDelay = 1500
    await rig.run(6000)
    decider.endpoint.inboundDelay = 0
    await rig.run(1000)
    expect(decider.log.lines.filter(line => line.event.name === 'follower-lost')).toEqual([])
    expect(rig.decider).toEqual(decider)
  })

  // Reading all parts at once fills a slow link for seconds, so that the store's answers to commits come late and the new decider offers the
  // term to another, which starts over.
  test('reads at most three parts of the records at the same time', async () => {
    const { rig, decider, ids } = await createBusyRig()
    rig.kill(decider)
    await rig.until(() => rig.decider !== undefined)
    expect(Math.max(...rig.nodes.map(node => node.store.mostConcurrentReads))).toBeLessThan(6)
    await expectCompletion(rig, ids)
  })

  // A single dead follower is given up soon, so that it gets no calls.
  test('leaves a follower that lost power out after its timeout', async () => {
    const rig = await createSteadyRig({ nodes: 6 })
    const decider = rig.decider!
    rig.powerOff(rig.nodes.find(node => node !== decider)!)
    await rig.run(600)
    expect(decider.log.lines.filter(line => line.event.name === 'follower-lost').length).toEqual(1)
  })

  // Guards against followers beyond the watchers that learn of a takeover only when their own, longer timeout has passed.
  test('is known to all followers soon after the claim, also after a power cut', async () => {
    const rig = await createSteadyRig({ nodes: 20 })
    await rig.run(3000)
    const decider = rig.decider!
    rig.powerOff(decider)
    await rig.until(() => rig.decider !== undefined && rig.decider !== decider, 2000)
    await rig.run(100)
    const following = rig.nodes.filter(node => node.log.lines.filter(({ event }) => event.name === 'decider-followed').length > 1)
    expect(following.length).toEqual(18)
  })

  // Guards against a decider whose processor and link are taken by heartbeats of many followers.
  test('needs few heartbeats while there is none, however many nodes follow', async () => {
    const count = async (nodes: number): Promise<number> => {
      const rig = await createSteadyRig({ nodes, workers: 0 })
      await rig.run(2000)
      const before = rig.messages
      await rig.run(10_000)
      return (rig.messages - before) / 10
    }
    const [few, many] = [await count(10), await count(50)]
    // Each further follower costs about two heartbeats a second in each direction, instead of eight.
    expect((many - few) / 40).toBeLessThan(5)
  })

  // Urgent jobs that wait for a decider which the store turns away are late; its followers could be served at once.
  test('follows within half a second when the store refuses the decider alone', async () => {
    const rig = await createSteadyRig()
    const decider = rig.decider!
    decider.store.condition = 'refusing'
    const since = rig.clock.now()
    await rig.until(() => rig.nodes.some(node => node !== decider && node.cell.activeDecider?.isReady === true), 5000)
    expect(rig.clock.now() - since).toBeLessThan(500)
  })

  test('interrupts no follower when the store refuses all nodes', async () => {
    const rig = await createSteadyRig({ nodes: 5 })
    const decider = rig.decider!
    for (const node of rig.nodes) node.store.condition = 'refusing'
    await rig.run(6000)
    for (const node of rig.nodes) node.store.condition = 'normal'
    await rig.run(1000)
    expect(rig.decider).toEqual(decider)
    expect(decider.log.lines.filter(line => line.event.name === 'follower-lost')).toEqual([])
  })

  test('moves the term from a weak instance to a strong one in normal operation', async () => {
    const rig = new CellRig({ nodes: 1 })
    await rig.until(() => rig.decider !== undefined)
    const strong = rig.addNode('strong', 4)
    await rig.until(() => rig.decider === strong, 5000)
    expect((await rig.submit(rig.nodes[0]!, [{}])).outcome.kind).toEqual('accepted')
  })

  test('waits for the leases of an unreachable worker to expire', async () => {
    const { rig, decider, ids } = await createBusyRig()
    await rig.until(() => [...rig.fleet.workers.values()].some(each => each.running.size > 0))
    const worker = [...rig.fleet.workers.values()].find(each => each.running.size > 0)!
    worker.isCutOff = true
    rig.kill(decider)
    await rig.run(12_000)
    worker.isCutOff = false
    await expectCompletion(rig, ids)
  })
})
