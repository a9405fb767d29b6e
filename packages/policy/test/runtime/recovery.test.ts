import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@rattanstep/core'
import { createAdmission, createAsk, createRule, createWorker } from './fixtures.js'
import { Backoff, Quarantine, RetryBudget, RunTimes, SizeEstimates } from '../../src/index.js'

function createQuarantine (): Quarantine {
  const quarantine = new Quarantine()
  for (const worker of ['w1', 'w2', 'w3']) quarantine.add(worker)
  return quarantine
}

function recordFailures (quarantine: Quarantine, worker: string, count: number): void {
  for (let run = 0; run < count; run++) quarantine.recordRun(worker, false, 1000)
}

test('a worker is quarantined when it is the only one that fails everything', () => {
  const quarantine = createQuarantine()
  recordFailures(quarantine, 'w1', 4)
  expect(quarantine.getHealth('w1')).toEqual('healthy')
  recordFailures(quarantine, 'w1', 1)
  expect(quarantine.getHealth('w1')).toEqual('quarantined')
})

test('a worker is not quarantined when the other workers fail too', () => {
  const quarantine = createQuarantine()
  for (let run = 0; run < 20; run++) {
    for (const worker of ['w2', 'w3']) quarantine.recordRun(worker, run % 4 === 0, 1000)
  }
  recordFailures(quarantine, 'w1', 20)
  expect(quarantine.getHealth('w1')).toEqual('healthy')
})

const PROBES: Array<{ title: string, succeeded: boolean, health: string }> = [
  { title: 'a probe that completes ends the quarantine', succeeded: true, health: 'healthy' },
  { title: 'a probe that fails continues the quarantine', succeeded: false, health: 'quarantined' }
]

for (const { title, succeeded, health } of PROBES) {
  test(title, () => {
    const quarantine = createQuarantine()
    recordFailures(quarantine, 'w1', 5)
    expect(quarantine.tick(2999)).toEqual([])
    expect(quarantine.tick(3000)).toEqual(['w1'])
    quarantine.recordGrant('w1', 3001)
    quarantine.recordRun('w1', succeeded, 3050)
    expect(quarantine.getHealth('w1')).toEqual(health as 'healthy')
  })
}

test('failed tasks count towards the quarantine of their worker', () => {
  const admission = createAdmission([createRule('render', { kind: 'batch' })])
  for (const id of ['w1', 'w2', 'w3']) admission.addWorker(createWorker(id), 0)
  for (let index = 0; index < 5; index++) {
    admission.hold('w1', { slots: 1, cores: 1, memory: 1, accelerators: 0 }, 'render', '', `t${index}`, index)
    admission.releaseHold(`t${index}`, index, 'failed')
  }
  expect(admission.getStatus(10).workers.map(({ state }) => state)).toEqual(['quarantined', 'usable', 'usable'])
})

test('retries stay within their fraction of the first attempts', () => {
  const budget = new RetryBudget()
  let retries = 0
  for (let request = 0; request < 1000; request++) {
    budget.deposit('quick', 0.1)
    if (budget.tryWithdraw('quick')) retries++
  }
  expect(retries >= 100 && retries <= 110).toEqual(true)
})

test('backoff delays grow with jitter and start over after a success', () => {
  const backoff = new Backoff({ firstDelay: 100, maxDelay: 1000, random: new SeededRandom(3) })
  const delays = Array.from({ length: 6 }, () => backoff.next())
  const limits = [100, 200, 400, 800, 1000, 1000]
  expect(delays.every((delay, index) => delay >= limits[index]! / 2 && delay <= limits[index]! * 1.5)).toEqual(true)
  backoff.reset()
  expect(backoff.next() <= 150).toEqual(true)
})

const DECLARED = [10, 250]

for (const declared of DECLARED) {
  test(`run times of 50 ms are learned when ${declared} ms are declared`, () => {
    const times = new RunTimes()
    for (let run = 0; run < 100; run++) times.observe({ className: 'quick', worker: 'w1', time: 50 })
    expect(Math.round(times.mean('quick', declared))).toEqual(50)
    expect(Math.abs(times.quantile('quick', 0.99, declared) - 50) < 5).toEqual(true)
  })
}

test('a slow worker is distinguished from the others', () => {
  const times = new RunTimes()
  for (let run = 0; run < 200; run++) {
    for (const worker of ['w1', 'w2', 'w3']) times.observe({ className: 'quick', worker, time: 50 })
    times.observe({ className: 'quick', worker: 'slow', time: 150 })
  }
  expect(times.getSlowness('slow') > 1.8).toEqual(true)
})

test('a slow worker is chosen last', () => {
  const admission = createAdmission([createRule('quick')])
  for (const id of ['w1', 'w2']) admission.addWorker(createWorker(id), 0)
  for (let run = 0; run < 60; run++) {
    const decisions = [0, 1].flatMap(index => admission.ask(createAsk(`a${run}-${index}`, { avoid: [`w${2 - index}`] }), 'f1', run))
    for (const decision of decisions) {
      if (decision.kind !== 'grant') continue
      const { permit, worker: id } = decision
      admission.release({ permit, worker: id, ending: 'completed', serviceTime: id === 'w1' ? 200 : 50 }, 'f1', run)
    }
  }
  const [decision] = admission.ask(createAsk('last'), 'f1', 100)
  expect(decision?.kind === 'grant' && decision.worker).toEqual('w2')
})

test('declared sizes are corrected by observed usage within bounds', () => {
  const sizes = new SizeEstimates()
  const declared = { slots: 1, cores: 4, memory: 1000, accelerators: 1 }
  for (let report = 0; report < 10; report++) sizes.observe('render', declared, { slots: 1, cores: 1, memory: 20_000, accelerators: 0 })
  expect(sizes.correct('render', declared)).toEqual({ slots: 1, cores: 1.15, memory: 5000, accelerators: 1 })
})
