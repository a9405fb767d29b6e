import { test } from 'node:test'
import { expect } from 'earl'
import { Cell } from '../support/Cell.js'

// After a start, a crash or a planned stop every resource must get an owner within a bounded time, while the table
// is needed for changes only.

test('nodes that start together share the resources evenly', async () => {
  const cell = new Cell({ nodes: 3, resources: workers(6) })
  expect(await cell.until(() => cell.isServed(), 10_000)).toBeLessThan(3000)
  await cell.run(15_000)
  const counts = [...cell.processes.values()].map(process => process.ownership.status().owned.length)
  expect(counts).toEqual([2, 2, 2])
  expect(cell.violations).toEqual([])
})

test('a cell without changes does not call the table', async () => {
  const cell = new Cell({ nodes: 5, resources: workers(10) })
  await cell.run(30_000)
  const { reads, commits } = cell.store
  await cell.run(60_000)
  expect([cell.store.reads, cell.store.commits]).toEqual([reads, commits])
  expect(cell.isServed()).toEqual(true)
})

test('the resources of a killed node are owned by others within two leases', async () => {
  const cell = new Cell({ nodes: 3, resources: workers(6) })
  await cell.run(20_000)
  cell.kill('n1')
  expect(await cell.until(() => cell.isServed(), 20_000)).toBeLessThan(6000)
  expect(cell.violations).toEqual([])
})

test('a planned stop hands over the resources without waiting for the lease to end', async () => {
  const cell = new Cell({ nodes: 3, resources: workers(6) })
  await cell.run(20_000)
  let drained = false
  cell.node('n1').ownership.drain().then(() => { drained = true }, () => {})
  expect(await cell.until(() => cell.isServed(), 20_000)).toBeLessThan(500)
  expect(await cell.until(() => drained, 20_000)).toBeLessThan(10_000)
  expect(cell.node('n0').ownership.peers()).toEqual([cell.node('n2').incarnation])
  expect(cell.violations).toEqual([])
})

test('owners keep serving while the table is down', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  cell.store.down = true
  await cell.run(600_000)
  expect(cell.isServed()).toEqual(true)
})

function workers (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `worker/${index}`)
}
