import { test } from 'node:test'
import { expect } from 'earl'
import { runStorms } from '../support/runStorms.js'

test('under random faults no node admits for what the table gives to another, and all are served again afterwards', async () => {
  expect(await runStorms(0)).toEqual([])
})
