import type { KeyEntry, KeyTransferMessage } from '@rattanstep/core'

/** One stretch of time in which a node is the home of a shard. */
export interface ShardOwnership {
  /** Version of the assignment that made it the home. */
  startVersion: number
  /** Wall-clock ms before which keys are not known; 0 when all are. */
  epoch: number
  /** Monotonic ms after which every key from before the epoch is too old to be repeated. */
  epochEndsAt: number
  /** Whether the keys of the home before have arrived or there was none. */
  isComplete: boolean
  /** Whether the keys of the home before may still arrive, and claims wait for them. */
  awaitsTransfer: boolean
  /** Parts of the transfer that have arrived. */
  receivedParts: Map<number, KeyEntry[]>
}

/**
 * Takes one part of a transfer.
 *
 * @param ownership - the receiver's tenure
 * @param message - the part
 * @returns all entries once every part has arrived, else `null`
 */
export function addTransferPart (ownership: ShardOwnership, message: KeyTransferMessage): KeyEntry[] | null {
  ownership.receivedParts.set(message.part, message.entries)
  if (ownership.receivedParts.size < message.parts) return null
  const entries = [...ownership.receivedParts].sort(([a], [b]) => a - b).flatMap(([, part]) => part)
  ownership.receivedParts.clear()
  return entries
}
