import { test } from 'node:test'
import { expect } from 'earl'
import type { Decision } from '../../src/index.js'
import { admission, ask, rule, worker } from './fixtures.js'

const SMALL = worker('w1', { resources: { slots: 1, cores: 4, memory: 4096, accelerators: 0 } })

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

test('an ask is granted at once where there is room', () => {
  const node = admission([rule('quick')])
  node.addWorker(worker('w1'), 0)
  expect(granted(node.ask(ask('a'), 'f1', 0))).toEqual(['a'])
  expect(node.free('w1').slots).toEqual(7)
})

test('room that becomes free goes to the highest priority', () => {
  const node = admission([rule('quick'), rule('urgent', { priority: 90 })])
  node.addWorker(SMALL, 0)
  const permit = permitOf(node.ask(ask('a'), 'f1', 0))
  node.ask(ask('b'), 'f1', 1)
  node.ask(ask('c', { class: 'urgent' }), 'f1', 2)
  expect(granted(node.release(release(permit), 'f1', 10))).toEqual(['c'])
})

test('callers of one class take turns', () => {
  const node = admission([rule('quick')])
  node.addWorker(SMALL, 0)
  let permit = permitOf(node.ask(ask('a0'), 'f1', 0))
  for (const id of ['a1', 'a2', 'a3']) node.ask(ask(id, { caller: 'greedy' }), 'f1', 1)
  node.ask(ask('b1', { caller: 'modest' }), 'f1', 2)
  const order: string[] = []
  for (let time = 10; time < 50; time += 10) {
    const decisions = node.release(release(permit), 'f1', time)
    order.push(...granted(decisions))
    permit = permitOf(decisions)
  }
  expect(order).toEqual(['a1', 'b1', 'a2', 'a3'])
})

test('a release is counted once', () => {
  const node = admission([rule('quick')])
  node.addWorker(worker('w1'), 0)
  const permit = permitOf(node.ask(ask('a'), 'f1', 0))
  node.ask(ask('b'), 'f1', 0)
  node.release(release(permit), 'f1', 1)
  node.release(release(permit), 'f1', 2)
  expect(node.free('w1').slots).toEqual(7)
})

test('a repeated ask gets the same permit', () => {
  const node = admission([rule('quick')])
  node.addWorker(worker('w1'), 0)
  const permit = permitOf(node.ask(ask('a'), 'f1', 0))
  expect(permitOf(node.ask(ask('a'), 'f1', 5))).toEqual(permit)
})

test('room that is unknown after a takeover is used only once it is confirmed', () => {
  const node = admission([rule('quick')])
  node.addWorker(SMALL, 0, SMALL.resources)
  expect(node.ask(ask('a'), 'f1', 0)).toEqual([])
  expect(granted(node.confirm('w1', 10))).toEqual(['a'])
})

test('adopted permits count once, and take up unknown room', () => {
  const node = admission([rule('quick')])
  const room = worker('w1')
  node.addWorker(room, 0, room.resources)
  const { resources, caller, team } = ask('x')
  const permit = { permit: 'old:1', worker: 'w1', class: 'quick', caller, team, resources, age: 5 }
  node.adopt('f2', [permit], 1)
  node.adopt('f2', [permit], 2)
  node.confirm('w1', 3)
  expect(node.free('w1').slots).toEqual(7)
})

test('an ask whose patience runs out is refused', () => {
  const node = admission([rule('quick')])
  node.addWorker(SMALL, 0)
  node.ask(ask('a'), 'f1', 0)
  node.ask(ask('b', { patience: 200 }), 'f1', 0)
  expect(node.tick(199)).toEqual([])
  expect(node.tick(200).map(decision => decision.kind)).toEqual(['refuse'])
})

test('work that no worker could hold is refused at once', () => {
  const node = admission([rule('quick')])
  node.addWorker(SMALL, 0)
  const large = { slots: 1, cores: 64, memory: 1, accelerators: 0 }
  const [decision] = node.ask(ask('a', { resources: large }), 'f1', 0)
  expect(decision?.kind === 'refuse' && decision.reason).toEqual('never-fits')
})
