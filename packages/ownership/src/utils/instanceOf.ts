import type { Incarnation } from '@rattanstep/core'

/**
 * @param incarnation - one life of a node process
 * @returns the identifier of the entry instance that it runs on
 */
export function instanceOf (incarnation: Incarnation): string {
  const end = incarnation.lastIndexOf('@')
  return end < 0 ? incarnation : incarnation.slice(0, end)
}
