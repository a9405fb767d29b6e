import { test } from 'node:test'
import { expect } from 'earl'
import { runRandomFaultsApart } from '../support/runRandomFaultsApart.js'

test('under random faults no node admits for what the table gives to another, and all are served again afterwards', async () => {
  expect(await runRandomFaultsApart(0)).toEqual([])
})
