import { describe, test } from 'node:test'
import { expect } from 'earl'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

describe('a submission', () => {
  test('is refused at once and never runs while the store refuses all nodes', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'refusing'
    await rig.run(2500)
    const before = rig.clock.now()
    const { id, outcome } = await rig.submit(rig.nodes[1]!, [{}])
    expect(outcome.kind).toEqual('refused')
    expect(rig.clock.now() - before).toBeLessThan(100)
    for (const node of rig.nodes) node.store.condition = 'normal'
    await rig.run(5000)
    expect(await rig.phase(rig.nodes[1]!, id)).toEqual('unknown-job')
  })

  test('is refused within a third of a second, instead of held, while the store resets every connection', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'resetting'
    await rig.run(1300)
    const before = rig.clock.now()
    const { outcome } = await rig.submit(rig.nodes[1]!, [{}])
    expect(outcome.kind).toEqual('refused')
    expect(rig.clock.now() - before).toBeLessThan(333)
  })

  test('is refused without a write when too little time is left before its deadline', async () => {
    const rig = await createSteadyRig()
    const calls = rig.nodes[1]!.store.calls
    let kind = ''
    const job = { id: '00000000000000ff', route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }
    rig.nodes[1]!.cell.gateway.submit(job, rig.clock.now() + 5).then(outcome => { kind = outcome.kind }, error => { throw error })
    await rig.run(3)
    expect(kind).toEqual('refused')
    expect(rig.nodes[1]!.store.calls).toEqual(calls)
    await rig.run(2000)
    expect(await rig.phase(rig.nodes[0]!, job.id)).toEqual('unknown-job')
  })

  test('is written through the decider at a node that the store refuses', async () => {
    const rig = await createSteadyRig()
    const follower = rig.nodes.find(node => node !== rig.decider)!
    follower.store.condition = 'refusing'
    await rig.run(2500)
    const { id, outcome } = await rig.submit(follower, [{}])
    expect(outcome.kind).toEqual('accepted')
    expect(follower.cell.isReady).toEqual(true)
    await rig.run(2000)
    expect(await rig.phase(follower, id)).toEqual('completed')
  })

  // A node that gets no answer from the decider reads the job's record, which says that a start was ordered.
  test('is not shown as queued by the decider after a record has shown it as running', async () => {
    const rig = await createSteadyRig({ workers: 1 })
    const worker = rig.fleet.workers.get('w0')!
    const follower = rig.nodes.find(node => node !== rig.decider)!
    worker.orderDelay = 5000
    const { id } = await rig.submit(follower, [{}])
    await rig.run(50)
    const decider = rig.decider!
    decider.endpoint.isSilenced = true
    const fromRecord = await rig.phase(follower, id)
    decider.endpoint.isSilenced = false
    expect(fromRecord).toEqual('running')
    expect(await rig.phase(decider, id)).toEqual('running')
  })

  // A node that the decider doesn't answer reads the record, which may be there before the decider has heard of it.
  test('is not shown as queued by the decider while the answer to the commit of its record is lost', async () => {
    const rig = await createSteadyRig({ workers: 1 })
    const decider = rig.decider!
    const follower = rig.nodes.find(node => node !== decider)!
    decider.store.condition = 'losing-answers'
    const { id } = await rig.submit(follower, [{}])
    await rig.run(200)
    decider.endpoint.isSilenced = true
    const fromRecord = await rig.phase(follower, id)
    decider.endpoint.isSilenced = false
    expect(fromRecord).toEqual('running')
    expect(await rig.phase(decider, id)).toEqual('running')
  })

  // Guards against a phase that goes back: another node has read the record before the store went away.
  test('is not shown as queued by the decider when the store is lost after it lost the answer to the commit of its record', async () => {
    const rig = await createSteadyRig({ workers: 1 })
    const decider = rig.decider!
    const follower = rig.nodes.find(node => node !== decider)!
    decider.store.condition = 'losing-answers'
    const { id } = await rig.submit(follower, [{}])
    await rig.run(200)
    decider.endpoint.isSilenced = true
    const fromRecord = await rig.phase(follower, id)
    decider.endpoint.isSilenced = false
    for (const node of rig.nodes) node.store.condition = 'refusing'
    await rig.run(600)
    expect(fromRecord).toEqual('running')
    expect(await rig.phase(decider, id)).toEqual('refused')
  })

  // The former decider of a planned stop learns only from the store that its successor decides, and callers go on using their connections to it.
  test('is not shown as queued by a decider that has handed over while the store loses the answers to its commits', async () => {
    const rig = await createSteadyRig({ workers: 1, nodes: 3, cpu: 1000 })
    const former = rig.decider!
    const other = rig.nodes.find(node => node !== former)!
    await rig.submit(other, [{ estimate: 400 }])
    const { id } = await rig.submit(other, [{}])
    await rig.run(50)
    expect(await rig.phase(former, id)).toEqual('queued')
    former.store.condition = 'losing-answers'
    const done = former.cell.handOver(3000)
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), 3000)
    const successor = rig.nodes.find(node => node !== former && node.cell.activeDecider !== undefined)!
    expect(await rig.phase(successor, id)).toEqual('running')
    expect(await rig.phase(former, id)).toEqual('running')
    await rig.run(3000)
    await done
  })

  test('is still shown as running while the store refuses all nodes', async () => {
    const rig = await createSteadyRig()
    const { id } = await rig.submit(rig.nodes[0]!, [{ estimate: 5000 }])
    await rig.until(() => rig.fleet.firstStart.has(`${id}.0.0.0`), 1000)
    for (const node of rig.nodes) node.store.condition = 'refusing'
    await rig.run(1000)
    for (const node of rig.nodes) expect(await rig.phase(node, id)).toEqual('running')
  })

  test('is accepted at once at a node that the store has just started to refuse', async () => {
    const rig = await createSteadyRig()
    const follower = rig.nodes.find(node => node !== rig.decider)!
    follower.store.condition = 'refusing'
    expect((await rig.submit(follower, [{}])).outcome.kind).toEqual('accepted')
  })

  // Guards against submissions that miss their deadlines because every node waits for its own transactions. The store takes 85 times as
  // long for some seconds at peak load, while short jobs are submitted at all nodes.
  test('is accepted before its deadline while the store is slow', async () => {
    const rig = await createSteadyRig({ nodes: 9, workers: 16, cpu: 16_000 })
    for (const node of rig.nodes) node.store.condition = 'slow'
    const kinds: string[] = []
    for (let index = 0; index < 120; index++) {
      const id = (index + 1).toString(16).padStart(16, '0')
      const gateway = rig.nodes[index % 9]!.cell.gateway
      gateway.submit({ id, route: 'r', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }, rig.clock.now() + 2900).then(outcome => { kinds.push(outcome.kind) }, error => { throw error })
      await rig.run(35)
    }
    await rig.run(3000)
    expect(kinds.filter(kind => kind === 'accepted').length).toBeGreaterThan(0.95 * 120)
  })

  test('results in one job when the answer to its write is lost', async () => {
    const rig = await createSteadyRig()
    const follower = rig.nodes.find(node => node !== rig.decider)!
    follower.store.condition = 'losing-answers'
    rig.clock.schedule(700, () => { follower.store.condition = 'normal' })
    const { id, outcome } = await rig.submit(follower, [{ count: 2 }])
    expect(outcome.kind).toEqual('accepted')
    await rig.run(3000)
    expect(await rig.phase(follower, id)).toEqual('completed')
    expect([...rig.fleet.starts.values()]).toEqual([1, 1])
  })

  test('is not reported as refused when its write may have been carried out', async () => {
    const rig = await createSteadyRig()
    for (const node of rig.nodes) node.store.condition = 'late'
    const { outcome } = await rig.submit(rig.nodes[1]!, [{}])
    expect(outcome.kind).toEqual('unsettled')
  })

  test('is found by the decider when its node dies immediately after accepting it', async () => {
    const rig = await createSteadyRig()
    const follower = rig.nodes.find(node => node !== rig.decider)!
    const announceJob = follower.cell.announceJob.bind(follower.cell)
    follower.cell.announceJob = () => {}
    const { id } = await rig.submit(follower, [{}])
    follower.cell.announceJob = announceJob
    rig.powerOff(follower)
    await rig.run(3000)
    expect(await rig.phase(rig.decider!, id)).toEqual('completed')
  })

  test('is replaced by one short row when its job has ended, and a repetition still refers to the same job', async () => {
    const rig = await createSteadyRig()
    const node = rig.nodes.find(each => each !== rig.decider)!
    const { id } = await rig.submit(node, [{ count: 2 }])
    await rig.run(3000)
    const left = [...rig.tables.rows.values()].filter(row => row.key.startsWith(id)).map(({ table, value }) => ({ table, value }))
    expect(left).toEqual([{ table: 'ended', value: 'completed' }])
    let kind = ''
    const repetition = { id, route: 'r', spec: 'x', steps: [stepOf({ count: 2 })], acceptedAt: 1 }
    node.cell.gateway.submit(repetition, rig.clock.now() + 1000).then(outcome => { kind = outcome.kind }, error => { throw error })
    await rig.run(2000)
    expect(kind).toEqual('accepted')
    rig.kill(rig.decider!)
    await rig.run(3000)
    expect(await rig.phase(node, id)).toEqual('completed')
    expect([...rig.fleet.starts.values()]).toEqual([1, 1])
  })

  test('is known at every node, including nodes that were not notified of it', async () => {
    const rig = await createSteadyRig()
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    for (const node of rig.nodes) expect(await rig.phase(node, id)).not.toEqual('unknown-job')
  })
})
