import { test } from 'node:test'
import { expect } from 'earl'
import type { Permit } from '@rattanstep/core'
import type { Admission } from '../../src/index.js'
import { createAdmission, createAsk, ONE_SLOT, createRule, createWorker } from './fixtures.js'

const PERMIT: Permit = { permit: 'old:1', worker: 'w1', class: 'quick', caller: 'c', team: '', resources: ONE_SLOT, age: 0 }
const NO_USAGE = { slots: 0, cores: 0, memory: 0, accelerators: 0 }

function createTakeover (): Admission {
  const admission = createAdmission([createRule('quick', { bound: 10_000 })])
  admission.addWorker(createWorker('w1'), 0)
  admission.adopt('f1', [PERMIT], 0)
  return admission
}

const CASES: Array<{ title: string, act: (admission: Admission) => void, free: number }> = [
  { title: 'lists that lack a recently granted permit do not free it', act: admission => { admission.renew('f1', [], 1000); admission.renew('f1', [], 2000) }, free: 7 },
  { title: 'one list that lacks an old permit does not free it', act: admission => { admission.renew('f1', [], 11_000) }, free: 7 },
  { title: 'two lists in a row that lack an old permit free it', act: admission => { admission.renew('f1', [], 11_000); admission.renew('f1', [], 12_000) }, free: 8 },
  { title: 'a permit of a lost front stays counted', act: admission => { admission.handleFrontLoss('f1', 0); admission.tick(10_000) }, free: 7 },
  { title: 'a permit that is not renewed is freed after its bound', act: admission => { admission.tick(20_001) }, free: 8 },
  { title: 'a renewed permit is kept beyond its bound', act: admission => { admission.renew('f1', [PERMIT], 15_000); admission.tick(20_001) }, free: 7 },
  { title: 'a report taken before the loss of the front frees nothing', act: admission => { admission.handleFrontLoss('f1', 9000); admission.applyReport('w1', { requests: 0, lag: 2000, tasks: NO_USAGE }, 10_000) }, free: 7 },
  { title: 'a report taken well after the loss of the front frees permits that the worker does not run', act: admission => { admission.handleFrontLoss('f1', 0); admission.applyReport('w1', { requests: 0, lag: 2000, tasks: NO_USAGE }, 10_000) }, free: 8 },
  { title: 'cores that tasks use above what is held take no slots', act: admission => { admission.applyReport('w1', { requests: 0, lag: 0, tasks: { ...NO_USAGE, cores: 15.5 } }, 1000) }, free: 7 }
]

for (const { title, act, free } of CASES) {
  test(title, () => {
    const admission = createTakeover()
    act(admission)
    expect(admission.free('w1').slots).toEqual(free)
  })
}

test('new work waits while tasks use more than what is held for them', () => {
  const admission = createTakeover()
  admission.applyReport('w1', { requests: 0, lag: 0, tasks: { ...NO_USAGE, cores: 15.5 } }, 1000)
  expect(admission.ask(createAsk('a'), 'f1', 1000)).toEqual([])
})
