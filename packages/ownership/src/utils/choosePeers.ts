import { hash32 } from '@rattanstep/core'
import type { Incarnation } from '@rattanstep/core'

/**
 * Chooses the nodes to which a node sends its heartbeats. The weight of a pair of nodes is the same for both, so
 * that most choices are mutual.
 *
 * @param self - the node that chooses
 * @param others - the other nodes
 * @param limit - maximum number of nodes to choose
 * @returns the chosen nodes
 */
export function choosePeers (self: Incarnation, others: readonly Incarnation[], limit: number): Incarnation[] {
  if (others.length <= limit) return [...others]
  return others
    .map(other => ({ other, weight: hash32(self < other ? `${self} ${other}` : `${other} ${self}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, limit)
    .map(entry => entry.other)
}
