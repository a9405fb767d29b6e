import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { RouteTable } from '../../src/index.js'
import { coversPattern, matchesPattern } from '../../src/runtime/pathPattern.js'

function route (path: string, method = '*') {
  return { path, method, class: path, idempotent: false, cores: 0, memory: 0, accelerators: 0, askedBy: 'me', line: 1 }
}

describe('RouteTable', () => {
  const table = new RouteTable({
    routes: [route('/a/*/final', 'POST'), route('/a/*/final'), route('/a/**/z'), route('/*/b'), route('/a/**'), route('/')]
  })
  const cases: Array<[string, string, string | null]> = [
    ['POST', '/a/1/final', '/a/*/final'],
    ['GET', '/a/1/final?x=/z', '/a/*/final'],
    ['GET', '/a/z', '/a/**/z'],
    ['GET', '/a/1/z/2/z', '/a/**/z'],
    ['GET', '/a/b', '/*/b'],
    ['GET', '/c/b', '/*/b'],
    ['GET', '/a', '/a/**'],
    ['GET', '//a//1/', '/a/**'],
    ['GET', '/%61/1', '/a/**'],
    ['GET', '/', '/'],
    ['GET', '', '/'],
    ['GET', '/c', null],
    ['GET', '/c/../a/1', null],
    ['GET', '/a/%2e%2e/1', null],
    ['GET', '/a/%zz', '/a/**'],
    ['GET', '/a' + '/x'.repeat(256), null],
    ['GET', '/constructor/__proto__', null]
  ]
  for (const [method, path, expected] of cases) {
    test(`matches ${method} ${path.slice(0, 30)} to ${expected ?? 'no route'}`, () => {
      expect(table.match(method, path)?.path ?? null).toEqual(expected)
    })
  }

  const segment = fc.constantFrom('a', 'b', '*', '**')
  const pattern = fc.array(segment, { maxLength: 5 })
  const path = fc.array(fc.constantFrom('a', 'b', 'c'), { maxLength: 6 })

  test('matches the same paths as a naive recursive matcher', () => {
    const naive = (left: string[], right: string[]): boolean => {
      const [first, ...rest] = left
      if (first === undefined) return right.length === 0
      if (first === '**') return naive(rest, right) || (right.length > 0 && naive(left, right.slice(1)))
      return right.length > 0 && (first === '*' || first === right[0]) && naive(rest, right.slice(1))
    }
    fc.assert(fc.property(pattern, path, (left, right) => {
      expect(matchesPattern(left, right)).toEqual(naive(left, right))
    }), { numRuns: 2000, seed: 1 })
  })

  test('finds a pattern covered by another exactly if the other matches all of its short paths', () => {
    const paths = createAllPaths(['a', 'b', 'c'], 6)
    fc.assert(fc.property(pattern, pattern, (wide, narrow) => {
      const covered = paths.every(segments => !matchesPattern(narrow, segments) || matchesPattern(wide, segments))
      expect(coversPattern(wide, narrow)).toEqual(covered)
    }), { numRuns: 300, seed: 2 })
  })

  test('stops comparing patterns once the budget is used up', () => {
    const budget = { remainingSteps: 1 }
    expect(coversPattern(['**', 'a', '**'], ['a', 'b', 'a', '**'], budget)).toEqual(false)
    expect(budget.remainingSteps).toEqual(-1)
    expect(coversPattern(['**', 'a', '**'], ['a', 'b', 'a', '**'])).toEqual(true)
  })

  test('matches a hostile pattern and path in bounded time', () => {
    const hostile = Array.from({ length: 16 }, () => ['**', 'a']).flat()
    const segments = [...Array.from({ length: 255 }, () => 'a'), 'b']
    expect(matchesPattern(hostile, segments)).toEqual(false)
  })
})

function createAllPaths (letters: string[], most: number): string[][] {
  const paths: string[][] = [[]]
  for (let at = 0; at < paths.length; at++) {
    const base = paths[at]!
    if (base.length < most) paths.push(...letters.map(letter => [...base, letter]))
  }
  return paths
}
