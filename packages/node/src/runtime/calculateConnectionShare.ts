import type { Instance } from '@rattanstep/core'

/** Margin for nodes that join after a share was calculated and before all nodes know of them. */
const JOINING_NODES = 2

/**
 * Divides the connection limit of a worker among the nodes, so that together they stay within it.
 *
 * @param worker - the worker, or `undefined` if it is not listed
 * @param nodes - number of nodes that may connect to it
 * @returns maximum number of connections from one node to the worker
 */
export function calculateConnectionShare (worker: Instance | undefined, nodes: number): number {
  if (worker === undefined) return 1
  if (nodes <= 1) return worker.connections
  return Math.max(1, Math.floor(worker.connections / (nodes + JOINING_NODES)))
}
