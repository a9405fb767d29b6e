import type { ResolvedRoute, ResolvedRules } from '../types/rules.js'
import { matchesPattern, splitPath, splitPattern } from './pathPattern.js'

/** A route with its pattern split. */
interface Entry {
  route: ResolvedRoute
  pattern: string[]
}

/** Finds the route of a request. */
export class RouteTable {
  /** Routes that start with a wildcard or stand for the root. */
  private readonly entriesWithoutLiteralStart: Entry[]
  /** Routes that may match a path with the first segment given, in their order. */
  private readonly entriesByFirstSegment = new Map<string, Entry[]>()

  /** @param rules - rules whose routes are looked up */
  constructor (rules: Pick<ResolvedRules, 'routes'>) {
    const entries = rules.routes.map(route => ({ route, pattern: splitPattern(route.path) }))
    this.entriesWithoutLiteralStart = entries.filter(entry => lacksLiteralStart(entry))
    const firstSegments = new Set(entries.filter(entry => !lacksLiteralStart(entry)).map(entry => entry.pattern[0]!))
    for (const firstSegment of firstSegments) {
      this.entriesByFirstSegment.set(firstSegment, entries.filter(entry => lacksLiteralStart(entry) || entry.pattern[0] === firstSegment))
    }
  }

  /**
   * @param method - method of the request
   * @param path - path of the request, with or without a query
   * @returns the first route that matches, or `null`
   */
  match (method: string, path: string): ResolvedRoute | null {
    const segments = splitPath(path)
    if (segments === null) return null
    const entries = this.entriesByFirstSegment.get(segments[0] ?? '') ?? this.entriesWithoutLiteralStart
    for (const { route, pattern } of entries) {
      if (route.method !== '*' && route.method !== method) continue
      if (matchesPattern(pattern, segments)) return route
    }
    return null
  }
}

const tablesByRules = new WeakMap<object, RouteTable>()

/**
 * Finds the route of a request. The table of some rules is built once.
 *
 * @param rules - rules in force
 * @param method - method of the request
 * @param path - path of the request, with or without a query
 * @returns the first route that matches, or `null`
 */
export function matchRoute (rules: ResolvedRules, method: string, path: string): ResolvedRoute | null {
  let table = tablesByRules.get(rules)
  if (table === undefined) {
    table = new RouteTable(rules)
    tablesByRules.set(rules, table)
  }
  return table.match(method, path)
}

function lacksLiteralStart ({ pattern }: Entry): boolean {
  return pattern[0] === undefined || pattern[0] === '*' || pattern[0] === '**'
}
