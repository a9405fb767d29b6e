import { SystemClock } from '@rattanstep/core'
import type { Node } from '@rattanstep/node'
import { StartError } from '../types/StartError.js'

const POLL_INTERVAL_MS = 100

/**
 * Waits until a node has stopped, whether on a signal, by an operator's drain or after a failure.
 *
 * @param node - a started node
 */
export async function waitUntilStopped (node: Node): Promise<void> {
  const clock = new SystemClock()
  while (node.state !== 'stopped') await clock.sleep(POLL_INTERVAL_MS)
}

/**
 * Waits until a node serves callers.
 *
 * @param node - a started node
 * @throws StartError if the node stops before it serves callers
 */
export async function waitUntilServing (node: Node): Promise<void> {
  await Promise.race([node.whenServing(), waitUntilStopped(node)])
  if (node.state !== 'stopped') return
  const { host, port } = node.addresses.front
  throw new StartError(`it stopped before it served callers; it may be unable to listen on ${host}:${port}`)
}
