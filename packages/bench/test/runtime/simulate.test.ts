import { test } from 'node:test'
import { expect } from 'earl'
import { WORKLOADS } from '../../src/runtime/workloads.js'
import { generateWork } from '../../src/runtime/generateWork.js'
import { SCHEDULERS } from '../../src/runtime/scenarios/compareLoads.js'
import { simulate } from '../../src/runtime/simulate.js'
import type { RunPlan } from '../../src/types/work.js'

function plan (changes: Partial<RunPlan> = {}): RunPlan {
  return { workload: WORKLOADS['hunt']!, load: 1.1, seed: 3, duration: 3000, peakDemand: 2.5, failingWorkers: 2, waveInterval: 1000, ...changes }
}

test('the same seed draws the same work, and another seed draws other work', () => {
  const first = generateWork(plan())
  expect(generateWork(plan())).toEqual(first)
  expect(generateWork(plan({ seed: 4 })).length === first.length).toEqual(false)
})

test('offered work is close to the requested load', () => {
  const works = generateWork(plan({ load: 0.9, duration: 200_000, waveInterval: 0 }))
  const offered = works.reduce((sum, work) => sum + work.runTime, 0) / (240 * 200_000)
  expect(Math.abs(offered - 0.9) < 0.05).toEqual(true)
})

for (const scheduler of SCHEDULERS) {
  test(`${scheduler} ends every item and exceeds the slots of no worker`, () => {
    const recorder = simulate(plan(), scheduler)
    for (const { arrived, done, failed, refused, withdrawn } of recorder.classes.values()) {
      expect(done + failed + refused + withdrawn).toEqual(arrived)
    }
  })
}
