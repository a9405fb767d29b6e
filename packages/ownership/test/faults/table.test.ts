import { test } from 'node:test'
import { expect } from 'earl'
import { Cell } from '../support/Cell.js'

// The table can be down, lose answers, or hold a damaged or outdated row. Nodes must keep serving what they own, not
// act on such a row, and recover once the table works again.

const KEY = 'assignment/main'

test('a node that is cut off for a short time while the table is down keeps its resources', async () => {
  const cell = new Cell({ nodes: 3 })
  await cell.run(20_000)
  cell.store.down = true
  await cell.run(5000)
  for (const id of ['n1', 'n2']) cell.wire.cuts.add(`n0>${id}`).add(`${id}>n0`)
  await cell.run(8000)
  cell.wire.cuts.clear()
  await cell.run(3000)
  expect(cell.isServed()).toEqual(true)
})

test('the resources of a dead owner are claimed once the table is back', async () => {
  const cell = new Cell({ nodes: 3, resources: ['worker/a', 'worker/b', 'worker/c'] })
  await cell.run(20_000)
  cell.store.down = true
  cell.kill('n2')
  await cell.run(60_000)
  const unowned = cell.resources.filter(resource => cell.admitters(resource).length === 0)
  expect(unowned.length).toEqual(1)
  cell.store.down = false
  expect(await cell.until(() => cell.isServed(), 60_000)).toBeLessThan(15_000)
})

test('while the table is down a node calls it with growing delays', async () => {
  const cell = new Cell({ nodes: 1 })
  cell.store.down = true
  await cell.run(20_000)
  const { reads } = cell.store
  await cell.run(60_000)
  expect(cell.store.reads - reads).toBeLessThan(30)
  expect(cell.store.reads - reads).toBeGreaterThan(5)
})

test('a write that took effect although its answer was lost is recognised', async () => {
  const cell = new Cell({ nodes: 3 })
  cell.store.answerLossProbability = 0.9
  expect(await cell.until(() => cell.isServed(), 300_000, 100)).toBeLessThan(300_000)
  expect(cell.violations).toEqual([])
})

const damaged: Array<[string, (value: string) => string]> = [
  ['text that is not JSON', () => '{'],
  ['a value of another shape', () => '{"version":"one"}'],
  ['a value of another version', value => JSON.stringify({ ...JSON.parse(value), version: 1 })],
  ['an owner that is not a holder', value => JSON.stringify({ ...JSON.parse(value), owners: { 'worker/a': 'nobody' } })],
  ['no voters', value => JSON.stringify({ ...JSON.parse(value), voters: [] })]
]

for (const [name, damage] of damaged) {
  test(`a row with ${name} is rejected, logged and not overwritten`, async () => {
    const cell = new Cell({ nodes: 2, keepsLog: true })
    await cell.run(20_000)
    const row = cell.store.rows.get(KEY)!
    const bad = { ...row, version: row.version + 1, value: damage(row.value) }
    cell.store.rows.set(KEY, bad)
    cell.start('n7')
    await cell.run(20_000)
    expect(cell.store.rows.get(KEY)).toEqual(bad)
    expect(cell.isServed()).toEqual(true)
    expect(cell.countLogged('assignment-unreadable')).toBeGreaterThan(0)
  })
}

test('a row restored from an older copy is rejected by nodes that know a newer version', async () => {
  const cell = new Cell({ nodes: 3, keepsLog: true })
  await cell.run(5000)
  const row = cell.store.rows.get(KEY)!
  cell.resources.push('worker/d')
  await cell.run(15_000)
  cell.store.rows.set(KEY, row)
  const { version } = cell.node('n0').ownership.assignment
  expect(version).toBeGreaterThan(row.version)
  cell.kill('n2')
  await cell.run(20_000)
  expect(cell.node('n0').ownership.assignment.version).toEqual(version)
  expect(cell.countLogged('assignment-unreadable')).toBeGreaterThan(0)
})
