import { test } from 'node:test'
import { expect } from 'earl'
import { Cell } from '../support/Cell.js'

// Nodes join, leave, pause and fail, and workers come and go. The voters and the shares of the nodes must follow,
// without needless hand-overs and without a node that admits after its lease ended.

for (const [nodes, voters] of [[1, 1], [2, 1], [3, 3], [4, 3], [5, 5], [9, 5], [16, 7]] as const) {
  test(`${nodes} nodes have ${voters} voters, spread over data centres`, async () => {
    const cell = new Cell({ nodes })
    await cell.run(30_000)
    const { voters: named, nextVoters, holders } = cell.node('n0').ownership.assignment
    const counts = new Map<string, number>()
    for (const { incarnation, dataCentre } of holders) {
      if (named.includes(incarnation)) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1)
    }
    expect([holders.length, named.length, nextVoters]).toEqual([nodes, voters, null])
    expect(Math.max(...counts.values())).toEqual(Math.ceil(voters / Math.min(nodes, 4)))
  })
}

test('a dead voter is replaced', async () => {
  const cell = new Cell({ nodes: 7 })
  await cell.run(30_000)
  const victim = cell.node('n0').ownership.assignment.voters[0]!
  const [id] = victim.split('@') as [string]
  cell.kill(id)
  await cell.run(15_000)
  const survivor = [...cell.processes.values()][0]!
  const { voters, nextVoters } = survivor.ownership.assignment
  expect([voters.length, voters.includes(victim), nextVoters]).toEqual([5, false, null])
})

test('a node that joins gets its share of the resources', async () => {
  const cell = new Cell({ nodes: 2, resources: ['worker/a', 'worker/b', 'worker/c', 'worker/d', 'worker/e', 'worker/f'] })
  await cell.run(20_000)
  cell.add('n2')
  await cell.run(20_000)
  expect(cell.node('n2').ownership.status().owned.length).toEqual(2)
  expect(cell.isServed()).toEqual(true)
})

test('a node whose instance is leaving is assigned no new resource and is no longer a voter', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  cell.instances = cell.instances!.map(instance => instance.id === 'n0' ? { ...instance, state: 'leaving' } : instance)
  cell.resources.push('worker/new')
  await cell.run(10_000)
  const { incarnation, ownership } = cell.node('n0')
  expect(ownership.ownerOf('worker/new')).not.toEqual(incarnation)
  expect(ownership.assignment.voters.includes(incarnation)).toEqual(false)
})

test('a worker that leaves the list for a short time keeps its owner, and one that stays away is dropped', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  const { version } = cell.node('n0').ownership.assignment
  const all = cell.resources
  cell.resources = all.filter(resource => resource !== 'worker/a')
  await cell.run(2000)
  cell.resources = all
  await cell.run(5000)
  expect(cell.node('n0').ownership.assignment.version).toEqual(version)
  cell.resources = all.filter(resource => resource !== 'worker/a')
  await cell.run(6000)
  expect(cell.node('n0').ownership.ownerOf('worker/a')).toEqual(null)
})

test('a node that was paused for longer than its lease admits nothing when it resumes', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  const { clock, ownership } = cell.node('n1')
  const owned = ownership.status().owned
  expect(owned.some(resource => ownership.canAdmit(resource))).toEqual(true)
  clock.isPaused = true
  await cell.run(20_000)
  expect(owned.some(resource => ownership.canAdmit(resource))).toEqual(false)
  clock.resume()
  await cell.run(20_000)
  expect(cell.isServed()).toEqual(true)
  expect(cell.violations).toEqual([])
})

test('all nodes can complete a planned stop at the same time', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  let stopped = 0
  for (const { ownership } of cell.processes.values()) ownership.drain().then(() => { stopped++ }, () => {})
  expect(await cell.until(() => stopped === 3, 30_000)).toBeLessThan(5000)
})

test('the nodes\' shares of each kind of resource end up differing by at most one', async () => {
  const workers = Array.from({ length: 60 }, (_, index) => `worker/${index}`)
  const shards = Array.from({ length: 32 }, (_, index) => `shard/${index}`)
  const cell = new Cell({ seed: 2, nodes: 9, resources: [...workers, ...shards] })
  await cell.run(30_000)
  for (const kind of ['worker/', 'shard/']) {
    const counts = [...cell.processes.values()].map(({ ownership }) =>
      ownership.status().owned.filter(resource => resource.startsWith(kind)).length)
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1)
  }
})

test('a voter that was paused and lost the messages of that time suspects no holder when it resumes', async () => {
  for (const pause of [2300, 2500, 2700]) {
    const cell = new Cell({ nodes: 1, keepsLog: true })
    for (const id of ['n1', 'n2', 'n3', 'n4']) {
      await cell.run(97)
      cell.add(id)
    }
    await cell.run(20_000)
    const { voters, version } = cell.node('n0').ownership.assignment
    const { id, clock } = [...cell.processes.values()].find(process => process.incarnation === voters[0])!
    clock.isPaused = true
    for (const other of cell.processes.keys()) cell.wire.cuts.add(`${other}>${id}`)
    await cell.run(pause)
    clock.resume()
    cell.wire.cuts.clear()
    await cell.run(10_000)
    expect(cell.countLogged('holder-suspected')).toEqual(0)
    expect(cell.node('n0').ownership.assignment.version).toEqual(version)
  }
})
