import { SystemClock } from '@rattanstep/core'
import type { Node } from '@rattanstep/node'
import { StartError } from '../types/StartError.js'

/** Milliseconds between looks at whether a node has ended. */
const LOOK_MS = 100

/**
 * @param node - a node that was started
 * @returns resolves once the node has ended, whoever stopped it
 */
export async function whenEnded (node: Node): Promise<void> {
  const clock = new SystemClock()
  while (node.state !== 'stopped') await clock.sleep(LOOK_MS)
}

/**
 * @param node - a node that was started
 * @returns resolves once the node serves callers
 * @throws StartError when it ended before
 */
export async function whenServing (node: Node): Promise<void> {
  await Promise.race([node.whenServing(), whenEnded(node)])
  if (node.state !== 'stopped') return
  const { host, port } = node.addresses.front
  throw new StartError(`it ended before it served; perhaps it can not listen for callers at ${host}:${port}`)
}
