import type { Configuration, Route } from '../types/configuration.js'

/**
 * @param configuration - in force
 * @param host - the request's host, without a port
 * @param path - its path
 * @returns the route with the longest prefix that the path begins with
 */
export function findRoute (configuration: Configuration, host: string, path: string): Route | undefined {
  let best: Route | undefined
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue
    if (best === undefined || route.prefix.length > best.prefix.length) best = route
  }
  return best
}
