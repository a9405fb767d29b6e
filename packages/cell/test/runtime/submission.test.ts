import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

describe('a hand-in', () => {
  test('is refused at once and never runs while no node reaches the store', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'refusing'
    await rig.run(2500)
    const before = rig.clock.now()
    const { id, verdict } = await rig.submit(rig.nodes[1]!, [{}])
    expect(verdict.kind).toEqual('refused')
    expect(rig.clock.now() - before).toBeLessThan(100)
    for (const node of rig.nodes) node.store.condition = 'fair'
    await rig.run(5000)
    expect(await rig.phase(rig.nodes[1]!, id)).toEqual('unknown-job')
  })

  test('is refused within a third of a second while the store resets every connection, not held', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'resetting'
    await rig.run(1300)
    const before = rig.clock.now()
    const { verdict } = await rig.submit(rig.nodes[1]!, [{}])
    expect(verdict.kind).toEqual('refused')
    expect(rig.clock.now() - before).toBeLessThan(333)
  })

  test('of which too little time is left is refused, with nothing written', async () => {
    const rig = await createSteadyRig()
    const calls = rig.nodes[1]!.store.calls
    let kind = ''
    const job = { id: '00000000000000ff', route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }
    rig.nodes[1]!.cell.gateway.submit(job, rig.clock.now() + 5).then(verdict => { kind = verdict.kind }, error => { throw error })
    await rig.run(3)
    expect(kind).toEqual('refused')
    expect(rig.nodes[1]!.store.calls).toEqual(calls)
    await rig.run(2000)
    expect(await rig.phase(rig.nodes[0]!, job.id)).toEqual('unknown-job')
  })

  test('goes through the decider at a node that the store turns away', async () => {
    const rig = await createSteadyRig()
    const entry = rig.nodes.find(node => node !== rig.decider)!
    entry.store.condition = 'refusing'
    await rig.run(2500)
    const { id, verdict } = await rig.submit(entry, [{}])
    expect(verdict.kind).toEqual('accepted')
    expect(entry.cell.isReady).toEqual(true)
    await rig.run(2000)
    expect(await rig.phase(entry, id)).toEqual('completed')
  })

  test('is taken at once at a node that the store has just begun to turn away', async () => {
    const rig = await createSteadyRig()
    const entry = rig.nodes.find(node => node !== rig.decider)!
    entry.store.condition = 'refusing'
    expect((await rig.submit(entry, [{}])).verdict.kind).toEqual('accepted')
  })

  // The load: the store takes 85 times as long for some seconds while a crest of short work comes in at all nodes.
  test('is accepted in its caller’s time while the store is slow', async () => {
    const rig = await createSteadyRig({ nodes: 9, workers: 16, cpu: 16_000 })
    for (const node of rig.nodes) node.store.condition = 'slow'
    const kinds: string[] = []
    for (let index = 0; index < 120; index++) {
      const id = (index + 1).toString(16).padStart(16, '0')
      const entry = rig.nodes[index % 9]!.cell.gateway
      entry.submit({ id, route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }, rig.clock.now() + 2900).then(verdict => { kinds.push(verdict.kind) }, error => { throw error })
      await rig.run(35)
    }
    await rig.run(3000)
    expect(kinds.filter(kind => kind === 'accepted').length).toBeGreaterThan(0.95 * 120)
  })

  test('is one job when the answer of its write is lost', async () => {
    const rig = await createSteadyRig()
    const entry = rig.nodes.find(node => node !== rig.decider)!
    entry.store.condition = 'losing-answers'
    rig.clock.schedule(700, () => { entry.store.condition = 'fair' })
    const { id, verdict } = await rig.submit(entry, [{ count: 2 }])
    expect(verdict.kind).toEqual('accepted')
    await rig.run(3000)
    expect(await rig.phase(entry, id)).toEqual('completed')
    expect([...rig.fleet.starts.values()]).toEqual([1, 1])
  })

  test('is not called refused when its write may have been carried out', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'late'
    const { verdict } = await rig.submit(rig.nodes[1]!, [{}])
    expect(verdict.kind).toEqual('unsettled')
  })

  test('is found by the decider when its node dies right after accepting it', async () => {
    const rig = await createSteadyRig()
    const entry = rig.nodes.find(node => node !== rig.decider)!
    const told = entry.cell.announceJob.bind(entry.cell)
    entry.cell.announceJob = () => {}
    const { id } = await rig.submit(entry, [{}])
    entry.cell.announceJob = told
    rig.powerOff(entry)
    await rig.run(3000)
    expect(await rig.phase(rig.decider!, id)).toEqual('completed')
  })

  test('leaves one short row when its job has ended, and a repeat of it is still the same job', async () => {
    const rig = await createSteadyRig()
    const node = rig.nodes.find(each => each !== rig.decider)!
    const { id } = await rig.submit(node, [{ count: 2 }])
    await rig.run(3000)
    const left = [...rig.tables.rows.values()].filter(row => row.key.startsWith(id)).map(({ table, value }) => ({ table, value }))
    expect(left).toEqual([{ table: 'ended', value: 'completed' }])
    let kind = ''
    const again = { id, route: 'r', spec: 'x', steps: [stepOf({ count: 2 })], acceptedAt: 1 }
    node.cell.gateway.submit(again, rig.clock.now() + 1000).then(verdict => { kind = verdict.kind }, error => { throw error })
    await rig.run(2000)
    expect(kind).toEqual('accepted')
    rig.kill(rig.decider!)
    await rig.run(3000)
    expect(await rig.phase(node, id)).toEqual('completed')
    expect([...rig.fleet.starts.values()]).toEqual([1, 1])
  })

  test('is answered for at every node, also one that has not heard of it', async () => {
    const rig = await createSteadyRig()
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    for (const node of rig.nodes) expect(await rig.phase(node, id)).not.toEqual('unknown-job')
  })
})
