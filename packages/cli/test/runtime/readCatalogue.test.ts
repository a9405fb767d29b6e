import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { readCatalogue } from '../../src/runtime/readCatalogue.js'
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

  test('has every number that the page of faults names, and the page every code of status', () => {
    const page = readFileSync(new URL('../../../../../docs/guide/faults.md', import.meta.url), 'utf8')
    const numbers = [...page.matchAll(/\b([1-7]\d{3})\b/g)].map(match => Number(match[1]))
    expect(numbers.filter(number => !events.some(event => event.number === number))).toEqual([])
    const codes = ['../../../../node/src/runtime/findProblems.ts', '../../../src/runtime/deriveProblems.ts']
      .flatMap(file => [...readFileSync(new URL(file, import.meta.url), 'utf8').matchAll(/code: '([a-z-]+)'/g)].map(match => match[1]!))
    expect(codes.length).toBeGreaterThan(5)
    expect(codes.filter(code => !page.includes(`\`${code}\``))).toEqual([])
  })

  test('stands in the docs as in the code; npm run docs:logs writes it', () => {
    const page = readFileSync(new URL('../../../../../docs/logs.md', import.meta.url), 'utf8')
    expect(page).toEqual(renderCatalogue(sections))
  })
})
