import { test } from 'node:test'
import { expect } from 'earl'
import { runRandomFaultsApart } from '../support/runRandomFaultsApart.js'

// First share of the seeds; the shares run in separate files so that they can run in parallel.
test('under random faults no node admits for a resource that the table gives to another, and all are served again afterwards', async () => {
  expect(await runRandomFaultsApart(0)).toEqual([])
})
