import type { Instance } from '@rattanstep/core'

/** Nodes that may join between the moment a share is worked out and the moment all nodes know of it. */
const JOINING_NODES = 2

/**
 * Divides the connections that a worker takes among the nodes, so that all of them together stay under its limit.
 *
 * @param worker - the worker, if it is listed
 * @param nodes - number of nodes that may connect to it
 * @returns most connections of one node to the worker
 */
export function calculateConnectionShare (worker: Instance | undefined, nodes: number): number {
  if (worker === undefined) return 1
  if (nodes <= 1) return worker.connections
  return Math.max(1, Math.floor(worker.connections / (nodes + JOINING_NODES)))
}
