import type { KeyEntry, KeyTransferMessage } from '@rattanstep/core'

/** The state of a shard for as long as this node is its home without interruption. */
export interface ShardOwnership {
  /** Version of the assignment that made this node the home. */
  startVersion: number
  /** Wall-clock ms; keys that were claimed before it may be unknown. 0 when all keys are known. */
  epoch: number
  /** Monotonic ms after which every key from before the epoch is too old to be repeated. */
  epochEndsAt: number
  /** Whether all keys of the previous home have arrived, or there was no previous home. */
  isComplete: boolean
  /** Whether claims wait because the keys of the previous home may still arrive. */
  awaitsTransfer: boolean
  /** Entries of the parts of the transfer that have arrived, by the number of the part. */
  receivedParts: Map<number, KeyEntry[]>
}

/**
 * Adds one part of a transfer.
 *
 * @param ownership - state of the shard at the receiver
 * @param message - the message with the part
 * @returns all entries once every part has arrived, otherwise `null`
 */
export function addTransferPart (ownership: ShardOwnership, message: KeyTransferMessage): KeyEntry[] | null {
  ownership.receivedParts.set(message.part, message.entries)
  if (ownership.receivedParts.size < message.parts) return null
  const entries = [...ownership.receivedParts].sort(([a], [b]) => a - b).flatMap(([, part]) => part)
  ownership.receivedParts.clear()
  return entries
}
