import { test } from 'node:test'
import { expect } from 'earl'
import { Cell } from '../support/Cell.js'

// A cell whose voters have lost their majority can neither renew leases nor remove holders, so it must choose new
// voters. Doing so while the old voters still run would let two nodes own a resource at the same time.

test('when the list no longer has a majority of the voters, new voters are chosen after one lease', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  for (const id of ['n1', 'n2']) cell.kill(id)
  await cell.run(20_000)
  expect(cell.isServed()).toEqual(false)
  cell.instances = cell.instances!.filter(instance => instance.id === 'n0')
  expect(await cell.until(() => cell.isServed(), 30_000)).toBeLessThan(6000)
  expect(cell.node('n0').ownership.assignment.voters).toEqual([cell.node('n0').incarnation])
  expect(cell.violations).toEqual([])
})

test('voters that are silent but listed are not replaced by a minority', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  for (const id of ['n1', 'n2']) {
    for (const cut of [`n0>${id}`, `${id}>n0`]) cell.wire.cuts.add(cut)
  }
  await cell.run(30_000)
  expect(cell.node('n0').ownership.leaseLeft()).toEqual(0)
  expect(cell.node('n1').ownership.peers()).toEqual([cell.node('n2').incarnation])
  expect(cell.isServed()).toEqual(true)
})

test('a cell whose processes all restart at once serves again', async () => {
  const cell = new Cell({ nodes: 5 })
  await cell.run(20_000)
  const ids = [...cell.processes.keys()]
  for (const id of ids) cell.kill(id)
  for (const id of ids) cell.start(id)
  expect(await cell.until(() => cell.isServed(), 60_000)).toBeLessThan(10_000)
  expect(cell.violations).toEqual([])
})

test('a cell that is replaced by other instances serves again once the list can no longer lag', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  const old = cell.instances!
  for (const { id } of old) cell.kill(id)
  cell.instances = ['n7', 'n8', 'n9'].map(id => ({ ...old[0]!, id }))
  for (const { id } of cell.instances) cell.start(id)
  expect(await cell.until(() => cell.isServed(), 60_000)).toBeLessThan(40_000)
  expect(cell.violations).toEqual([])
})

// Each loss alone leaves a majority. If the voters shrink to one node while a paused one is away, the next kill stops the cell for good, as long
// as the platform still lists the dead.
test('voters that are lost one after the other, one of them paused, leave a cell that is served again', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  cell.kill('n0')
  await cell.run(1500)
  cell.add('n3')
  await cell.run(8000)
  const paused = cell.node('n1')
  paused.clock.isPaused = true
  await cell.run(9000)
  paused.clock.resume()
  await cell.run(100)
  cell.store.down = true
  await cell.run(4000)
  cell.kill('n2')
  await cell.run(2000)
  cell.store.down = false
  expect(await cell.until(() => cell.isServed(), 60_000)).toBeLessThan(20_000)
  expect(cell.violations).toEqual([])
})
