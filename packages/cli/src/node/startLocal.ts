import { randomBytes } from 'node:crypto'
import { NO_RESOURCES } from '@rattanstep/core'
import type { Address } from '@rattanstep/core'
import { startNode } from '@rattanstep/node'
import type { ResolvedSettings } from '@rattanstep/rules'
import { startEmbeddedPlatform } from '@rattanstep/stand-ins'
import type { MemoryInstanceList } from '@rattanstep/stand-ins'
import { SilentLog } from '@rattanstep/telemetry'
import type { Log } from '@rattanstep/telemetry'
import { waitUntilServing, waitUntilStopped } from './waitForNode.js'

const HOST = '127.0.0.1'
const SECRET_BYTES = 16
const DRAIN_TIMEOUT_MS = 10_000

/** Options of {@link startLocal}. */
export interface StartLocalOptions {
  /** Port for callers; 0 lets the system choose. */
  port: number
  /** Port for operators (default 0, which lets the system choose). */
  controlPort?: number
  /** Contents of the rules file. */
  rules: string
  /** Secret for operators (default: a random one). */
  secret?: string
  /** Log of the node (default: nothing is logged). */
  log?: Log
}

/** A cell of one node inside this process. */
export interface LocalCell {
  /** Address for callers. */
  front: Address
  /** Address for operators. */
  control: Address
  /** Secret for operators. */
  secret: string
  /** Performs a planned stop of the node, then closes the stand-ins. */
  drain: () => Promise<void>
  /** Resolves once the node has stopped and the stand-ins are closed, also after an operator drained the node. */
  ended: Promise<void>
}

/**
 * Starts a node with stand-ins for the platform and the workers in this process.
 *
 * @param options - ports, rules, secret and log
 * @returns the cell, once its node serves callers
 * @throws StartError if the node stops before it serves callers, or the error of the port on which it cannot listen
 */
export async function startLocal (options: StartLocalOptions): Promise<LocalCell> {
  const settings = createSettings(options)
  const platform = await startEmbeddedPlatform()
  try {
    registerNode(platform.instances, settings)
    const node = await startNode({ settings, platform, rules: options.rules, log: options.log ?? new SilentLog() })
    await waitUntilServing(node)
    const ended = waitUntilStopped(node).then(async () => { await platform.close() })
    const drain = async (): Promise<void> => {
      await node.drain()
      await ended
    }
    return { front: node.addresses.front, control: node.addresses.control, secret: settings.secret, drain, ended }
  } catch (error) {
    await platform.close()
    throw error
  }
}

/** Adds the node to the platform's instance list, because only listed nodes are assigned workers. */
function registerNode (instances: MemoryInstanceList, { id, dataCentre, peer }: ResolvedSettings): void {
  instances.add({ id, role: 'entry', state: 'live', dataCentre, rack: 'entry', address: peer, resources: NO_RESOURCES, connections: 0 })
}

function createSettings (options: StartLocalOptions): ResolvedSettings {
  return {
    id: 'local',
    cell: 'local',
    dataCentre: 'local',
    front: { host: HOST, port: options.port },
    peer: { host: HOST, port: 0 },
    control: { host: HOST, port: options.controlPort ?? 0 },
    platform: { host: HOST, port: 0 },
    seeds: [],
    secret: options.secret ?? randomBytes(SECRET_BYTES).toString('hex'),
    log: 'info',
    drain: DRAIN_TIMEOUT_MS
  }
}
