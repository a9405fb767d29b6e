import { test } from 'node:test'
import { expect } from 'earl'
import type { Ask } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import type { AdmissionOptions } from '../../src/index.js'
import { createAdmission, createAsk, createRule, createWorker } from './fixtures.js'

interface Case {
  title: string
  classes: ResolvedClass[]
  options?: Partial<AdmissionOptions>
  asks: Array<Partial<Ask>>
  granted: number
}

function times (count: number, changes: Partial<Ask>): Array<Partial<Ask>> {
  return Array.from({ length: count }, () => changes)
}

const TEAM = { name: 'red', most: 0.25, askedBy: '', line: 1 }

// Each case uses one worker with 8 slots.
const CASES: Case[] = [
  { title: 'work fills all slots', classes: [createRule('quick')], asks: times(10, {}), granted: 8 },
  { title: 'a class uses no more than its largest share', classes: [createRule('quick', { most: 0.5 })], asks: times(10, {}), granted: 4 },
  {
    title: 'the reserve of a class is not lent to work that is not short',
    classes: [createRule('slower', { expected: 200 }), createRule('urgent', { priority: 90, reserve: 0.25 })],
    asks: times(10, { class: 'slower' }),
    granted: 6
  },
  {
    title: 'the reserve of a class is lent to short work',
    classes: [createRule('quick'), createRule('urgent', { priority: 90, reserve: 0.25 })],
    asks: times(10, {}),
    granted: 8
  },
  {
    title: 'a reserve that may not be lent is kept from all other work',
    classes: [createRule('quick'), createRule('urgent', { priority: 90, reserve: 0.25 })],
    options: { lentReserveFraction: 0 },
    asks: times(10, {}),
    granted: 6
  },
  {
    title: 'a class can use its whole reserve',
    classes: [createRule('quick'), createRule('urgent', { priority: 90, reserve: 0.25 })],
    options: { lentReserveFraction: 0 },
    asks: [...times(8, {}), ...times(3, { class: 'urgent' })],
    granted: 8
  },
  { title: 'a team uses no more than its quota', classes: [createRule('quick')], options: { teams: [TEAM] }, asks: times(10, { team: 'red' }), granted: 2 },
  {
    title: 'a team that has used up its quota does not delay other teams',
    classes: [createRule('quick')],
    options: { teams: [TEAM] },
    asks: [...times(4, { team: 'red' }), ...times(3, { team: 'blue' })],
    granted: 5
  }
]

for (const { title, classes, options, asks, granted } of CASES) {
  test(title, () => {
    const admission = createAdmission(classes, options)
    admission.addWorker(createWorker('w1'), 0)
    const decisions = asks.flatMap((changes, index) => admission.ask(createAsk(`a${index}`, changes), 'f1', 0))
    expect(decisions.filter(decision => decision.kind === 'grant').length).toEqual(granted)
  })
}

test('a running request raises the mean time of a class whose declared time it far exceeds', () => {
  const admission = createAdmission([createRule('quick', { bound: 1e6 })])
  admission.addWorker(createWorker('w1'), 0)
  admission.ask(createAsk('a'), 'f1', 0)
  admission.tick(10_000)
  expect(admission.getStatus(10_000).classes[0]?.meanTime).toEqual(10_000)
})

const AGEING: Array<{ title: string, ageing: number, order: string[] }> = [
  { title: 'without ageing the class with the higher priority is served first', ageing: 0, order: ['new1', 'new2', 'new3', 'old'] },
  { title: 'aged work is served alternately with the class of the highest priority', ageing: 100, order: ['new1', 'old', 'new2', 'new3'] }
]

for (const { title, ageing, order } of AGEING) {
  test(title, () => {
    const admission = createAdmission([createRule('quick', { ageing }), createRule('urgent', { priority: 60 })])
    admission.addWorker(createWorker('w1', { resources: { slots: 1, cores: 4, memory: 4096, accelerators: 0 } }), 0)
    let decisions = admission.ask(createAsk('a'), 'f1', 0)
    admission.ask(createAsk('old'), 'f1', 1)
    for (const id of ['new1', 'new2', 'new3']) admission.ask(createAsk(id, { class: 'urgent' }), 'f1', 1500)
    const seen: string[] = []
    for (let time = 2000; time < 2400; time += 100) {
      const permit = decisions[0]?.kind === 'grant' ? decisions[0].permit : ''
      decisions = admission.release({ permit, worker: 'w1', ending: 'completed', serviceTime: 50 }, 'f1', time)
      seen.push(...decisions.map(decision => decision.ask.id))
    }
    expect(seen).toEqual(order)
  })
}

test('long requests leave free the slots that the last peak of short work needed', () => {
  const admission = createAdmission([createRule('quick'), createRule('slow', { expected: 5000 })], { minLongFraction: 0.25 })
  admission.addWorker(createWorker('w1'), 0)
  const permits: string[] = []
  for (let index = 0; index < 5; index++) {
    const [decision] = admission.ask(createAsk(`q${index}`), 'f1', 0)
    if (decision?.kind === 'grant') permits.push(decision.permit)
  }
  admission.tick(10)
  for (const permit of permits) admission.release({ permit, worker: 'w1', ending: 'completed', serviceTime: 50 }, 'f1', 50)
  const decisions = [0, 1, 2, 3, 4].flatMap(index => admission.ask(createAsk(`s${index}`, { class: 'slow' }), 'f1', 60))
  expect(decisions.filter(decision => decision.kind === 'grant').length).toEqual(3)
})

test('waiting work that may preempt demands slots of long work down to its minimum share', () => {
  const admission = createAdmission([createRule('quick', { preempts: 'stop' }), createRule('render', { kind: 'batch', priority: 10, expected: 5000 })], { minLongFraction: 0.25 })
  admission.addWorker(createWorker('w1'), 0)
  for (let index = 0; index < 8; index++) admission.hold('w1', { slots: 1, cores: 1, memory: 1, accelerators: 0 }, 'render', '', `t${index}`, 0)
  expect(admission.preemptionDemand()).toEqual(null)
  for (let index = 0; index < 20; index++) admission.ask(createAsk(`q${index}`), 'f1', 1)
  expect(admission.preemptionDemand()).toEqual({ priority: 50, preempts: 'stop', slots: 6 })
})

test('an ask is redirected only once to a peer with free slots', () => {
  const admission = createAdmission([createRule('quick')])
  admission.addWorker(createWorker('w1', { resources: { slots: 1, cores: 4, memory: 4096, accelerators: 0 } }), 0)
  admission.ask(createAsk('a'), 'f1', 0)
  admission.ask(createAsk('here'), 'f1', 1)
  admission.ask(createAsk('moved', { waited: 100 }), 'f1', 1)
  const peer = { incarnation: 'n2', load: { slots: 8, free: 8, waiting: [], service: 50 }, age: 5 }
  const refused = admission.tick(100, [peer]).map(decision => [decision.ask.id, decision.kind === 'refuse' && decision.redirect])
  expect(refused).toEqual([['here', 'n2']])
})

test('short work leaves the minimum share of long work free while long work waits', () => {
  const admission = createAdmission([createRule('quick'), createRule('render', { kind: 'batch', priority: 10, expected: 5000 })], { minLongFraction: 0.25 })
  admission.addWorker(createWorker('w1'), 0)
  admission.setWaitingTasks('render', 5)
  const decisions = [0, 1, 2, 3, 4, 5, 6, 7].flatMap(index => admission.ask(createAsk(`q${index}`), 'f1', 0))
  expect(decisions.filter(decision => decision.kind === 'grant').length).toEqual(6)
})

const AFTER_PEAK: Array<{ title: string, preemptsTasks: boolean, held: number }> = [
  { title: 'tasks leave free the slots of the last peak when the node does not preempt tasks', preemptsTasks: false, held: 2 },
  { title: 'tasks use all slots that short work has left when the node preempts tasks', preemptsTasks: true, held: 8 }
]

for (const { title, preemptsTasks, held } of AFTER_PEAK) {
  test(title, () => {
    const admission = createAdmission([createRule('quick'), createRule('render', { kind: 'batch', priority: 10, expected: 5000 })], { preemptsTasks })
    admission.addWorker(createWorker('w1'), 0)
    const grants = [0, 1, 2, 3, 4, 5, 6, 7].flatMap(index => admission.ask(createAsk(`q${index}`), 'f1', 0))
    admission.tick(10)
    for (const grant of grants) {
      if (grant.kind === 'grant') admission.release({ permit: grant.permit, worker: 'w1', ending: 'completed', serviceTime: 50 }, 'f1', 50)
    }
    for (let now = 60; now < 1000; now += 20) admission.tick(now)
    const need = { slots: 1, cores: 1, memory: 1, accelerators: 0 }
    const holds = [0, 1, 2, 3, 4, 5, 6, 7, 8].filter(index => admission.hold('w1', need, 'render', '', `t${index}`, 1000))
    expect(holds.length).toEqual(held)
  })
}
