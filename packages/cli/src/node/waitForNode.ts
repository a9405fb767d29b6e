import { SystemClock } from '@rattanstep/core'
import type { Node } from '@rattanstep/node'
import { StartError } from '../types/StartError.js'

/** Milliseconds between looks at whether a node has ended. */
const POLL_INTERVAL_MS = 100

/**
 * @param node - a node that was started
 * @returns resolves once the node has ended, whoever stopped it
 */
export async function waitUntilStopped (node: Node): Promise<void> {
  const clock = new SystemClock()
  while (node.state !== 'stopped') await clock.sleep(POLL_INTERVAL_MS)
}

/**
 * @param node - a node that was started
 * @returns resolves once the node serves callers
 * @throws StartError when it ended before
 */
export async function waitUntilServing (node: Node): Promise<void> {
  await Promise.race([node.whenServing(), waitUntilStopped(node)])
  if (node.state !== 'stopped') return
  const { host, port } = node.addresses.front
  throw new StartError(`it ended before it served; perhaps it can not listen for callers at ${host}:${port}`)
}
