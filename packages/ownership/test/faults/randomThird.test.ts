import { test } from 'node:test'
import { expect } from 'earl'
import { runStormsApart } from '../support/runStormsApart.js'

test('under random faults no node admits for what the table gives to another, and all are served again afterwards', async () => {
  expect(await runStormsApart(2)).toEqual([])
})
