import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { editRule, parseRules } from '../../src/index.js'

const text = readFileSync(new URL('../../../../../examples/hunt-desk.yaml', import.meta.url), 'utf8')

describe('editRule', () => {
  const options = { file: 'hunt-desk.yaml' }

  test('changes one value and leaves every other byte unchanged', () => {
    const changed = editRule(text, { section: 'classes', rule: 'quick-check', key: 'reserve', value: '30%' }, options).unwrap()
    expect(changed).toEqual(text.replace('priority: 75, reserve: 25%', 'priority: 75, reserve: 30%'))
  })

  test('restores the same bytes when a value is changed back', () => {
    const there = editRule(text, { section: 'routes', rule: '/hunts/*/submissions', key: 'cores', value: '1' }, options).unwrap()
    const back = editRule(there, { section: 'routes', rule: '/hunts/*/submissions', key: 'cores', value: '0.5' }, options).unwrap()
    expect(back).toEqual(text)
  })

  test('adds a key that the rule does not set', () => {
    const changed = editRule(text, { section: 'classes', rule: 'standings', key: 'weight', value: '2' }, options).unwrap()
    expect(changed).toEqual(text.replace('bound: 3s, expected: 15ms }', 'bound: 3s, expected: 15ms, weight: 2 }'))
  })

  test('changes and adds limits', () => {
    const short = text.replace(/ {2}idleTimeout.*\n/, '')
    const changed = editRule(short, { section: 'limits', key: 'idleTimeout', value: '5s', askedBy: 'ann' }, options).unwrap()
    expect(changed).toEqual(short.trimEnd() + '\n  idleTimeout: 5s # ann\n')
    expect(parseRules(changed, options).unwrap().limits.idleTimeout).toEqual(5000)
  })

  test('refuses a change that leads to findings, and an unknown rule', () => {
    const over = editRule(text, { section: 'classes', rule: 'quick-check', key: 'reserve', value: '90%' }, options)
    expect(over.isErr() && over.error.map(finding => finding.code)).toEqual(['reserve-sum', 'most-below-reserve'])
    const unknown = editRule(text, { section: 'teams', rule: 'nobody', key: 'most', value: '9%' }, options)
    expect(unknown.isErr() && unknown.error.map(finding => finding.code)).toEqual(['no-rule'])
  })
})
