import { test } from 'node:test'
import { expect } from 'earl'
import { Chart } from '../../src/index.js'

const DOOR = {
  id: 'door',
  initial: 'shut',
  states: { shut: { on: { open: 'ajar' } }, ajar: { on: { remove: 'gone' } }, gone: { type: 'final' as const } }
}

test('a chart returns the next state, or null for an event that is not allowed', () => {
  const chart = new Chart<'shut' | 'ajar' | 'gone', 'open' | 'remove'>(DOOR)
  expect(chart.initial).toEqual('shut')
  expect(chart.next('shut', 'open')).toEqual('ajar')
  expect(chart.next('shut', 'remove')).toEqual(null)
  expect(chart.isFinal('gone')).toEqual(true)
  expect(chart.isFinal('shut')).toEqual(false)
})

test('a chart that refers to missing states is rejected with a list of all of them', () => {
  const broken = { id: 'broken', initial: 'nowhere', states: { a: { on: { go: 'b' } } } }
  expect(() => new Chart(broken)).toThrow('a on go to b; initial nowhere')
})
