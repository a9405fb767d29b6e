import { test } from 'node:test'
import { expect } from 'earl'
import type { Permit } from '@rattanstep/core'
import type { Admission } from '../../src/index.js'
import { admission, ask, ONE_SLOT, rule, worker } from './fixtures.js'

const PERMIT: Permit = { permit: 'old:1', worker: 'w1', class: 'quick', caller: 'c', team: '', resources: ONE_SLOT, age: 0 }
const NO_USAGE = { slots: 0, cores: 0, memory: 0, accelerators: 0 }

function createAdmission (): Admission {
  const node = admission([rule('quick', { bound: 10_000 })])
  node.addWorker(worker('w1'), 0)
  node.adopt('f1', [PERMIT], 0)
  return node
}

const CASES: Array<{ title: string, act: (node: Admission) => void, free: number }> = [
  { title: 'a list that lacks a new permit does not free it', act: node => { node.renew('f1', [], 1000); node.renew('f1', [], 2000) }, free: 7 },
  { title: 'one list that lacks an old permit does not free it', act: node => { node.renew('f1', [], 11_000) }, free: 7 },
  { title: 'two lists that lack an old permit free it', act: node => { node.renew('f1', [], 11_000); node.renew('f1', [], 12_000) }, free: 8 },
  { title: 'a permit of a lost front stays counted', act: node => { node.handleFrontLoss('f1', 0); node.tick(10_000) }, free: 7 },
  { title: 'a permit that nobody renews is freed after its bound', act: node => { node.tick(20_001) }, free: 8 },
  { title: 'a renewed permit outlives its bound', act: node => { node.renew('f1', [PERMIT], 15_000); node.tick(20_001) }, free: 7 },
  { title: 'a report taken before the loss frees nothing', act: node => { node.handleFrontLoss('f1', 9000); node.applyReport('w1', { requests: 0, lag: 2000, tasks: NO_USAGE }, 10_000) }, free: 7 },
  { title: 'a report taken well after the loss frees what the worker does not run', act: node => { node.handleFrontLoss('f1', 0); node.applyReport('w1', { requests: 0, lag: 2000, tasks: NO_USAGE }, 10_000) }, free: 8 },
  { title: 'use by tasks above what was held takes up room', act: node => { node.applyReport('w1', { requests: 0, lag: 0, tasks: { ...NO_USAGE, cores: 15.5 } }, 1000) }, free: 7 }
]

for (const { title, act, free } of CASES) {
  test(title, () => {
    const node = createAdmission()
    act(node)
    expect(node.free('w1').slots).toEqual(free)
  })
}

test('use by tasks above what was held keeps new work out', () => {
  const node = createAdmission()
  node.applyReport('w1', { requests: 0, lag: 0, tasks: { ...NO_USAGE, cores: 15.5 } }, 1000)
  expect(node.ask(ask('a'), 'f1', 1000)).toEqual([])
})
