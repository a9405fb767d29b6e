import { HttpInstanceList, HttpObjectStore, HttpTable, HttpWorkers } from '@rattanstep/platform'
import type { ResolvedSettings } from '@rattanstep/rules'
import type { Platform } from '../types/NodeOptions.js'
import type { Node } from './Node.js'
import { startNode } from './startNode.js'

/** Options of a daemon. */
export interface DaemonOptions {
  settings: ResolvedSettings
  /** Default: HTTP clients for the platform address of the settings. */
  platform?: Platform
  /** Rules text that applies while the table holds none. */
  rules?: string
}

/**
 * Runs one node until the process receives a signal. SIGTERM and SIGINT start a planned stop; a second signal stops the
 * node immediately.
 *
 * @param options - settings, platform and default rules
 * @returns the running node
 */
export async function runDaemon (options: DaemonOptions): Promise<Node> {
  const { settings, rules } = options
  const platform = options.platform ?? createHttpPlatform(settings)
  const node = await startNode({ settings, platform, rules })
  let isStopping = false
  const stop = (): void => {
    const ended = isStopping ? node.stop() : node.drain()
    isStopping = true
    ended.then(() => { process.exit(0) }, () => { process.exit(1) })
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  return node
}

function createHttpPlatform ({ platform: address }: ResolvedSettings): Platform {
  return {
    table: new HttpTable({ address }),
    objects: new HttpObjectStore({ address }),
    instances: new HttpInstanceList({ address }),
    workers: new HttpWorkers()
  }
}
