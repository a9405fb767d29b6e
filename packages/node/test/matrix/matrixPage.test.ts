import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import { FAULTS, STEPS, whyNotApplicable } from '../support/matrixTable.js'

const PAGE = new URL('../../../../../docs/matrix.md', import.meta.url)

test('the matrix page has a cell for every fault at every step, and none of them is red', () => {
  const rows = new Map(readFileSync(PAGE, 'utf8').split('\n').filter(line => line.startsWith('| ')).map(line => {
    const [, step = '', ...cells] = line.split(' | ').join('|').split('|').map(cell => cell.trim())
    return [step, cells.slice(0, FAULTS.length)] as const
  }))
  for (const step of Object.values(STEPS).flat()) {
    const expected = FAULTS.map(fault => whyNotApplicable(step, fault) === null ? 'holds' : 'n/a')
    expect([step, rows.get(step)]).toEqual([step, expected])
  }
})
