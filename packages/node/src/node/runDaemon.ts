import { HttpInstanceList, HttpObjectStore, HttpTable, HttpWorkers } from '@rattanstep/platform'
import type { ResolvedSettings } from '@rattanstep/rules'
import type { Platform } from '../types/NodeOptions.js'
import type { Node } from './Node.js'
import { startNode } from './startNode.js'

/** What a daemon is made of. */
export interface DaemonOptions {
  settings: ResolvedSettings
  /** Default: the platform at the address of the settings, over HTTP. */
  platform?: Platform
  /** Operators' text in force while the table has none. */
  rules?: string
}

/**
 * Runs one node until the process is told to stop. SIGTERM and SIGINT begin a planned stop; a second one ends at once.
 *
 * @param options - settings of the node
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
