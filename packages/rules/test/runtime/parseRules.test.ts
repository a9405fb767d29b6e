import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { DEFAULT_RULES, matchRoute, parseRules, parseSettings } from '../../src/index.js'

const FILE = 'rules.yaml'

/** Findings as `LINE:COLUMN code`. */
function findings (text: string): string[] {
  const result = parseRules(text, { file: FILE })
  return result.isOk() ? [] : result.error.map(({ code, place }) => `${place.line}:${place.column} ${code}`)
}

function example (name: string): string {
  return readFileSync(new URL(`../../../../../examples/${name}.yaml`, import.meta.url), 'utf8')
}

const CLASS = '  - { name: a } # me\n'
const ROUTE = '  - { path: /a, class: a } # me\n'

function rules (classes: string, routes = ROUTE, rest = ''): string {
  return `classes:\n${classes}routes:\n${routes}${rest}`
}

describe('parseRules', () => {
  const table: Array<[string, string, string[]]> = [
    ['accepts the smallest rules', rules(CLASS), []],
    ['accepts carriage returns', rules(CLASS).replaceAll('\n', '\r\n'), []],
    ['accepts every key of a class', rules('  - { name: a, kind: request, priority: 1, reserve: 1%, most: 2%, patience: 1s, bound: 1m, weight: 2, ageing: 0ms, expected: 2ms, retries: 0%, preempts: stop } # me\n'), []],
    ['refuses an empty text', '', ['1:1 empty']],
    ['refuses a text of white space only', ' \n\t\n', ['1:1 empty']],
    ['refuses a list at the top', '[]', ['1:1 not-a-map']],
    ['refuses a text of comments only', '# nothing', ['1:1 not-a-map']],
    ['refuses more than 1 MiB', '#'.repeat(1024 ** 2 + 1), ['1:1 too-large']],
    ['refuses more tokens than the limit', 'a:\n'.repeat(60_000), ['50001:1 too-large']],
    ['refuses a byte order mark', '\ufeff' + rules(CLASS), ['1:1 byte-order-mark']],
    ['refuses control characters', 'classes:\n\u0000', ['2:1 binary']],
    ['refuses deeply nested brackets', '[[[[[[[[[[[[', ['1:9 too-deep']],
    ['refuses deeply nested blocks', '- '.repeat(60_000), ['1:131 too-deep']],
    ['refuses rules without classes', 'routes: []', ['1:1 missing-section']],
    ['refuses an unknown section', rules(CLASS) + 'team: []\n', ['5:1 unknown-key']],
    ['refuses a section given twice', rules(CLASS) + 'teams: []\nteams: []\n', ['6:1 duplicate-key']],
    ['refuses a block map as a rule', rules('  - name: a # me\n'), ['2:5 not-a-map', '4:24 unknown-class']],
    ['refuses a flow list as a section', 'classes: [{ name: a }] # me\n', ['1:10 not-a-list']],
    ['refuses an unknown key', rules('  - { name: a, prioity: 3 } # me\n'), ['2:16 unknown-key']],
    ['refuses a key given twice', rules('  - { name: a, bound: 1s, bound: 1s } # me\n'), ['2:27 duplicate-key']],
    ['refuses a rule without a name', rules(CLASS + '  - { bound: 1s } # me\n'), ['3:5 missing-key']],
    ['refuses a key without a value', rules('  - { name: a, bound: } # me\n'), ['2:16 wrong-value']],
    ['refuses a list as a value', rules('  - { name: a, bound: [1s] } # me\n'), ['2:23 wrong-value']],
    ['refuses a bare number where a unit is needed', rules('  - { name: a, bound: 20, reserve: 0.5 } # me\n'), ['2:23 wrong-unit', '2:36 wrong-unit']],
    ['refuses a unit of another kind', rules('  - { name: a, bound: 20MiB, priority: 5% } # me\n'), ['2:23 wrong-unit', '2:40 wrong-unit']],
    ['refuses values out of bounds', rules('  - { name: a, bound: 0ms, reserve: 101%, priority: 101 } # me\n'), ['2:23 out-of-bounds', '2:37 out-of-bounds', '2:53 out-of-bounds']],
    ['refuses an unknown word', rules('  - { name: a, preempts: halt } # me\n'), ['2:26 wrong-value']],
    ['refuses a class named twice', rules(CLASS + CLASS), ['3:13 duplicate-name']],
    ['refuses a team named twice', rules(CLASS, ROUTE, 'teams:\n  - { name: t } # me\n  - { name: t } # me\n'), ['7:13 duplicate-name']],
    ['refuses reserves that add up to more than 100%', rules('  - { name: a, reserve: 60% } # me\n  - { name: b, kind: batch, reserve: 41% } # me\n'), ['3:38 reserve-sum']],
    ['accepts reserves that add up to 100%', rules('  - { name: a, reserve: 33.3% } # me\n  - { name: b, kind: batch, reserve: 66.7% } # me\n'), []],
    ['refuses a value of most below the reserve', rules('  - { name: a, reserve: 20%, most: 10% } # me\n'), ['2:36 most-below-reserve']],
    ['refuses an expected run time above the bound', rules('  - { name: a, bound: 1s, expected: 2s } # me\n'), ['2:37 expected-over-bound']],
    ['refuses a route to an unknown class', rules(CLASS, ROUTE + '  - { path: /b, class: aa } # me\n'), ['5:24 unknown-class']],
    ['refuses a route to a class of jobs', rules(CLASS + '  - { name: b, kind: gang } # me\n', ROUTE + '  - { path: /b, class: b } # me\n'), ['6:24 wrong-kind']],
    ['refuses a class for requests that no route leads to', rules(CLASS + '  - { name: b } # me\n'), ['3:13 unreached']],
    ['refuses a route that never matches', rules(CLASS, '  - { path: /a/**, class: a } # me\n  - { path: /a/*/b, method: GET, class: a } # me\n'), ['5:5 shadowed']],
    ['accepts an earlier route of another method', rules(CLASS, '  - { path: /a/**, method: PUT, class: a } # me\n  - { path: /a/*/b, class: a } # me\n'), []],
    ['accepts an earlier route that is narrower', rules(CLASS, '  - { path: /a/*/b, class: a } # me\n  - { path: /a/**, class: a } # me\n'), []],
    ['refuses a path that is not a valid pattern', rules(CLASS, '  - { path: a, class: a } # me\n  - { path: /a//b, class: a } # me\n  - { path: /a*, class: a } # me\n'), ['4:13 wrong-value', '5:13 wrong-value', '6:13 wrong-value']],
    ['accepts 32 segments and no more', rules(CLASS, `  - { path: ${'/a'.repeat(32)}, class: a } # me\n  - { path: ${'/b'.repeat(33)}, class: a } # me\n`), ['5:13 wrong-value']],
    ['refuses a method in lower case', rules(CLASS, '  - { path: /a, method: get, class: a } # me\n'), ['4:25 wrong-value']],
    ['refuses a rule without a comment', rules('  - { name: a }\n'), ['2:5 no-asker']],
    ['refuses an empty comment', rules('  - { name: a } #\n'), ['2:5 no-asker']],
    ['refuses a limit without a comment', rules(CLASS, ROUTE, 'limits:\n  body: 1MiB\n'), ['6:3 no-asker']],
    ['refuses a rule that spans several lines', rules('  - { name: a, # me\n      bound: 1s } # me\n'), ['2:5 many-lines']],
    ['refuses bad YAML and still reports findings on the lines before it', rules('  - { name: a, bound: 1 } # me\n  - { name: b # me\n'), ['2:23 wrong-unit', '3:5 many-lines', '4:1 bad-yaml']],
    ['refuses an anchor and an alias', rules('  - { name: &n a } # me\n', '  - { path: /a, class: *n } # me\n'), ['2:13 not-allowed', '4:24 not-allowed', '4:24 wrong-value']],
    ['refuses a tag', rules('  - { name: !!str a } # me\n'), ['2:13 not-allowed']],
    ['refuses a directive and a second document', '%YAML 1.2\n---\n' + rules(CLASS) + '---\n', ['1:1 not-allowed', '2:1 not-allowed', '7:1 not-allowed']]
  ]
  for (const [title, text, expected] of table) {
    test(title, () => {
      expect(findings(text)).toEqual(expected)
    })
  }

  test('suggests the nearest known key', () => {
    const result = parseRules(rules('  - { name: a, prioity: 3 } # me\n'), { file: FILE })
    expect(result.isErr() && result.error[0]!.message).toEqual(expect.includes('did you mean priority?'))
  })

  test('fills in every default and converts units', () => {
    const text = rules('  - { name: a, patience: 250ms, reserve: 10% } # ann, because\n', '  - { path: /a, method: GET, class: a, memory: 1GiB } # bob\n')
    const { classes, routes, limits } = parseRules(text, { file: FILE }).unwrap()
    expect(classes[0]).toEqual({ name: 'a', kind: 'request', priority: 50, reserve: 0.1, most: 1, patience: 250, bound: 30_000, weight: 1, ageing: 1000, expected: 100, retries: 0.1, preempts: 'nothing', askedBy: 'ann, because', line: 2 })
    expect(routes[0]).toEqual({ path: '/a', method: 'GET', class: 'a', idempotent: true, cores: 0, memory: 1024, accelerators: 0, askedBy: 'bob', line: 4 })
    expect(limits.header).toEqual(16_384)
  })

  test('accepts the default rules, which route every request', () => {
    const defaults = parseRules(DEFAULT_RULES, { file: FILE }).unwrap()
    expect(matchRoute(defaults, 'PUT', '/any/path')?.class).toEqual('everything')
    expect(matchRoute(defaults, 'GET', '/')?.class).toEqual('everything')
  })

  for (const name of ['hunt-desk', 'passport-desk']) {
    test(`accepts the example of the ${name}, whose classes are all reachable`, () => {
      const { classes, routes } = parseRules(example(name), { file: name }).unwrap()
      const reached = new Set(routes.map(route => route.class))
      const missed = classes.filter(entry => entry.kind === 'request' && !reached.has(entry.name))
      expect(missed).toEqual([])
      expect([...new Set(classes.map(entry => entry.kind))].sort()).toEqual(['batch', 'gang', 'request', 'service'])
    })
  }

  test('never throws on damaged or random text', () => {
    const words = fc.constantFrom('classes:', 'routes:', 'limits:', '\n', '  ', '- ', '{', '}', '[', ']', ':', ', ', '# me', 'name', 'a', 'bound: 1s', 'path: /a', 'class: a', '&x', '*x', '!!t', '"', "'", '|', '>', '%', '---', '...', '? ', '\t', '\r', '\u2028', '\ud800', '__proto__: 1', '<<: ', '20%')
    const texts = fc.oneof(fc.string({ unit: 'binary' }), fc.array(words, { maxLength: 60 }).map(parts => parts.join('')), mutatedExample())
    fc.assert(fc.property(texts, text => {
      for (const result of [parseRules(text, { file: FILE }), parseSettings(text, { file: FILE })]) {
        if (result.isErr()) expect(result.error.length).toBeGreaterThan(0)
      }
    }), { numRuns: 2000, seed: 20261204 })
  })
})

/** An example file in which one piece is replaced by random text. */
function mutatedExample (): fc.Arbitrary<string> {
  const text = example('hunt-desk')
  return fc.tuple(fc.nat(text.length), fc.nat(40), fc.string({ maxLength: 8 }))
    .map(([at, length, piece]) => text.slice(0, at) + piece + text.slice(at + length))
}
