import { test } from 'node:test'
import { expect } from 'earl'
import { Scenario } from '../support/Scenario.js'

test('every request is run and answered when no fault occurs', async () => {
  const scenario = new Scenario({ seed: 1 })
  await scenario.start()
  await scenario.runWorkload()
  const { violations, counts } = await scenario.recoverAndCheck()
  expect(violations).toEqual([])
  expect(counts.runs > counts.requests * 0.9).toEqual(true)
})
