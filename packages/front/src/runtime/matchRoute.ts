import type { ResolvedRoute, ResolvedRules } from '@rattanstep/rules'

/**
 * Finds the first route that matches a request.
 *
 * @param rules - rules in force
 * @param method - method in capitals
 * @param path - path without query
 * @returns the route, or `null`
 */
export function matchRoute (rules: ResolvedRules, method: string, path: string): ResolvedRoute | null {
  const segments = path.split('/').slice(1)
  return rules.routes.find(route => (route.method === '*' || route.method === method) &&
    matches(route.path.split('/').slice(1), segments)) ?? null
}

function matches (pattern: string[], segments: string[]): boolean {
  if (pattern.length === 0) return segments.length === 0
  const [first, ...rest] = pattern
  if (first === '**') return matches(rest, segments) || (segments.length > 0 && matches(pattern, segments.slice(1)))
  if (segments.length === 0) return false
  return (first === '*' || first === segments[0]) && matches(rest, segments.slice(1))
}
