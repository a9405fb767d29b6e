import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { readCatalogue } from '../../src/runtime/catalogue.js'
import { renderCatalogue } from '../../src/runtime/renderCatalogue.js'

describe('log catalogue', () => {
  const sections = readCatalogue()
  const events = sections.flatMap(section => section.events)

  test('finds the events of the packages', () => {
    expect(events.length).toBeGreaterThan(0)
  })

  test('uses each number and each name once', () => {
    const numbers = events.map(event => event.number)
    const names = events.map(event => event.name)
    expect(numbers.filter((number, index) => numbers.indexOf(number) !== index)).toEqual([])
    expect(names.filter((name, index) => names.indexOf(name) !== index)).toEqual([])
  })

  for (const { name, first, last, events: own } of sections) {
    test(`keeps the numbers of ${name} from ${first} to ${last}`, () => {
      expect(own.filter(event => event.number < first || event.number > last)).toEqual([])
    })
  }

  test('stands in the docs as in the code; npm run docs:logs writes it', () => {
    const page = readFileSync(new URL('../../../../../docs/logs.md', import.meta.url), 'utf8')
    expect(page).toEqual(renderCatalogue(sections))
  })
})
