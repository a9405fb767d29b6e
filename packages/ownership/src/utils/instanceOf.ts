import type { Incarnation } from '@rattanstep/core'

/**
 * @param incarnation - a node process, formatted as `id@random`
 * @returns the identifier of the instance that it runs on
 */
export function instanceOf (incarnation: Incarnation): string {
  const end = incarnation.lastIndexOf('@')
  return end < 0 ? incarnation : incarnation.slice(0, end)
}
