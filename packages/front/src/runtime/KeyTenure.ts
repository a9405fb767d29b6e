import type { KeyEntry, KeyTransferMessage } from '@rattanstep/core'

/** One stretch of time in which a node is the home of a shard. */
export interface KeyTenure {
  /** Version of the assignment that made it the home. */
  since: number
  /** Wall-clock ms before which keys are not known; 0 when all are. */
  epoch: number
  /** Monotonic ms after which every key from before the epoch is too old to be repeated. */
  epochEndsAt: number
  /** Whether the keys of the home before have arrived or there was none. */
  complete: boolean
  /** Whether the keys of the home before may still arrive, and claims wait for them. */
  awaiting: boolean
  /** Parts of the transfer that have arrived. */
  parts: Map<number, KeyEntry[]>
}

/**
 * Takes one part of a transfer.
 *
 * @param tenure - the receiver's tenure
 * @param message - the part
 * @returns all entries once every part has arrived, else `null`
 */
export function takePart (tenure: KeyTenure, message: KeyTransferMessage): KeyEntry[] | null {
  tenure.parts.set(message.part, message.entries)
  if (tenure.parts.size < message.parts) return null
  const entries = [...tenure.parts].sort(([a], [b]) => a - b).flatMap(([, part]) => part)
  tenure.parts.clear()
  return entries
}
