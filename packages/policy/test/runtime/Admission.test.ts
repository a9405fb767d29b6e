import { test } from 'node:test'
import { expect } from 'earl'
import type { Decision } from '../../src/index.js'
import { createAdmission, createAsk, createRule, createWorker } from './fixtures.js'

const SMALL = createWorker('w1', { resources: { slots: 1, cores: 4, memory: 4096, accelerators: 0 } })

function permitOf (decisions: Decision[]): string {
  const first = decisions[0]
  if (first?.kind !== 'grant') throw new Error('expected a grant')
  return first.permit
}

function granted (decisions: Decision[]): string[] {
  return decisions.filter(decision => decision.kind === 'grant').map(decision => decision.ask.id)
}

function release (permit: string): { permit: string, worker: string, ending: 'completed', serviceTime: number } {
  return { permit, worker: 'w1', ending: 'completed', serviceTime: 50 }
}

test('an ask is granted at once while there is free capacity', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(createWorker('w1'), 0)
  expect(granted(admission.ask(createAsk('a'), 'f1', 0))).toEqual(['a'])
  expect(admission.free('w1').slots).toEqual(7)
})

test('freed capacity goes to the class with the highest priority', () => {
  const admission = createAdmission([createRule('quick'), createRule('urgent', { priority: 90 })])
  admission.addWorker(SMALL, 0)
  const permit = permitOf(admission.ask(createAsk('a'), 'f1', 0))
  admission.ask(createAsk('b'), 'f1', 1)
  admission.ask(createAsk('c', { class: 'urgent' }), 'f1', 2)
  expect(granted(admission.release(release(permit), 'f1', 10))).toEqual(['c'])
})

test('callers of one class are served alternately', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(SMALL, 0)
  let permit = permitOf(admission.ask(createAsk('a0'), 'f1', 0))
  for (const id of ['a1', 'a2', 'a3']) admission.ask(createAsk(id, { caller: 'greedy' }), 'f1', 1)
  admission.ask(createAsk('b1', { caller: 'modest' }), 'f1', 2)
  const order: string[] = []
  for (let time = 10; time < 50; time += 10) {
    const decisions = admission.release(release(permit), 'f1', time)
    order.push(...granted(decisions))
    permit = permitOf(decisions)
  }
  expect(order).toEqual(['a1', 'b1', 'a2', 'a3'])
})

test('a release is counted once', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(createWorker('w1'), 0)
  const permit = permitOf(admission.ask(createAsk('a'), 'f1', 0))
  admission.ask(createAsk('b'), 'f1', 0)
  admission.release(release(permit), 'f1', 1)
  admission.release(release(permit), 'f1', 2)
  expect(admission.free('w1').slots).toEqual(7)
})

test('a repeated ask gets the same permit', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(createWorker('w1'), 0)
  const permit = permitOf(admission.ask(createAsk('a'), 'f1', 0))
  expect(permitOf(admission.ask(createAsk('a'), 'f1', 5))).toEqual(permit)
})

test('capacity that is unknown after a takeover is used only once it is confirmed', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(SMALL, 0, SMALL.resources)
  expect(admission.ask(createAsk('a'), 'f1', 0)).toEqual([])
  expect(granted(admission.confirm('w1', 10))).toEqual(['a'])
})

test('adopted permits are counted once and reduce the unknown capacity', () => {
  const admission = createAdmission([createRule('quick')])
  const description = createWorker('w1')
  admission.addWorker(description, 0, description.resources)
  const { resources, caller, team } = createAsk('x')
  const permit = { permit: 'old:1', worker: 'w1', class: 'quick', caller, team, resources, age: 5 }
  admission.adopt('f2', [permit], 1)
  admission.adopt('f2', [permit], 2)
  admission.confirm('w1', 3)
  expect(admission.free('w1').slots).toEqual(7)
})

test('an ask whose patience runs out is refused', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(SMALL, 0)
  admission.ask(createAsk('a'), 'f1', 0)
  admission.ask(createAsk('b', { patience: 200 }), 'f1', 0)
  expect(admission.tick(199)).toEqual([])
  expect(admission.tick(200).map(decision => decision.kind)).toEqual(['refuse'])
})

test('work that is too large for every worker is refused at once', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(SMALL, 0)
  const large = { slots: 1, cores: 64, memory: 1, accelerators: 0 }
  const [decision] = admission.ask(createAsk('a', { resources: large }), 'f1', 0)
  expect(decision?.kind === 'refuse' && decision.reason).toEqual('never-fits')
})
