import type { Configuration, Route } from '../types/configuration.js'

/**
 * @param configuration - configuration in force
 * @param host - host of the request, without the port
 * @param path - path of the request
 * @returns the route of the host with the longest prefix that matches the path
 */
export function findRoute (configuration: Configuration, host: string, path: string): Route | undefined {
  let best: Route | undefined
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue
    if (best === undefined || route.prefix.length > best.prefix.length) best = route
  }
  return best
}
