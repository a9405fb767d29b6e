import { randomBytes } from 'node:crypto'
import { SystemClock, SystemRandom } from '@rattanstep/core'
import { GrpcNetwork } from '@rattanstep/peer'
import { DEFAULT_RULES } from '@rattanstep/rules'
import { JsonLog } from '@rattanstep/telemetry'
import type { NodeOptions } from '../types/NodeOptions.js'
import { Node } from './Node.js'

/** Random bytes in the incarnation, which distinguish one run of a node from the next. */
const INCARNATION_BYTES = 4

/**
 * Starts one node. Its control interface is available once this resolves; it may start to serve callers later.
 *
 * @param options - settings and platform; the other options have defaults
 * @returns the running node
 * @throws Error when the peer or the control address cannot be bound
 */
export async function startNode (options: NodeOptions): Promise<Node> {
  const { settings, platform } = options
  const clock = options.clock ?? new SystemClock()
  const random = options.random ?? new SystemRandom()
  const log = options.log ?? new JsonLog({ node: settings.id, level: settings.log })
  const incarnation = `${settings.id}@${randomBytes(INCARNATION_BYTES).toString('hex')}`
  const network = new GrpcNetwork({ self: incarnation, address: settings.peer, secret: settings.secret, log, clock, random })
  const peer = await network.listen()
  const node = new Node({ settings, platform, incarnation, network, peer, clock, random, log, rules: options.rules ?? DEFAULT_RULES })
  try {
    await node.start()
  } catch (error) {
    network.close()
    throw error
  }
  return node
}
