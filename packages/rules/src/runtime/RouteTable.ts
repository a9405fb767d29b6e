import type { ResolvedRoute, ResolvedRules } from '../types/rules.js'
import { matchesPattern, splitPath, splitPattern } from './pathPattern.js'

/** A route and the segments of its path pattern. */
interface RouteEntry {
  route: ResolvedRoute
  pattern: string[]
}

/** Looks up the route of a request. Routes are indexed by the first segment of their patterns. */
export class RouteTable {
  /** Routes whose pattern starts with a wildcard or is the root, in the order of the rules. */
  private readonly entriesWithoutLiteralStart: RouteEntry[]
  /** For each literal first segment, the routes that can match a path that starts with it, in the order of the rules. */
  private readonly entriesByFirstSegment = new Map<string, RouteEntry[]>()

  /** @param rules - rules that hold the routes */
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
 * Finds the route of a request. Builds the route table on the first call for a set of rules and reuses it afterwards.
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

function lacksLiteralStart ({ pattern }: RouteEntry): boolean {
  return pattern[0] === undefined || pattern[0] === '*' || pattern[0] === '**'
}
