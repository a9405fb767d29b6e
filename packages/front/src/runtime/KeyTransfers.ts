import type { Clock, Incarnation, KeyEntry, KeyTransferMessage, Network, Timer } from '@rattanstep/core'

/** Interval at which an unconfirmed part is sent again, in ms. */
const RESEND_MS = 100

/** Number of times that a part is sent again before it is given up. The new home then treats keys from before its epoch as unknown. */
const MAX_RESENDS = 50

/** Maximum size of the entries in one part, in bytes; a single larger entry forms a part of its own. */
const PART_BYTES = 512 * 1024

/** Sends the keys of a shard to its next home in parts, and repeats each part until the next home confirms it. */
export class KeyTransfers {
  private readonly unconfirmed = new Map<string, Timer>()

  constructor (private readonly options: { network: Network, clock: Clock }) {}

  /** Number of unconfirmed parts. */
  get size (): number {
    return this.unconfirmed.size
  }

  /**
   * Starts a transfer.
   *
   * @param to - the next home
   * @param transfer - the shard, the version of the assignment that made the receiver the home, and the sender's epoch
   * @param entries - all keys of the shard
   */
  start (to: Incarnation, transfer: Pick<KeyTransferMessage, 'shard' | 'version' | 'epoch'>, entries: KeyEntry[]): void {
    const parts = splitIntoParts(entries)
    for (const [part, chunk] of parts.entries()) {
      this.send(to, { kind: 'key-transfer', ...transfer, part, parts: parts.length, entries: chunk })
    }
  }

  /**
   * Stops the repeats of a part that was confirmed or given up.
   *
   * @param id - identifier of the part
   * @returns whether the part was unconfirmed until now
   */
  confirm (id: string): boolean {
    const timer = this.unconfirmed.get(id)
    timer?.cancel()
    return this.unconfirmed.delete(id)
  }

  /** Stops sending the parts that were not confirmed. */
  stop (): void {
    for (const timer of this.unconfirmed.values()) timer.cancel()
    this.unconfirmed.clear()
  }

  private send (to: Incarnation, message: KeyTransferMessage): void {
    const { network, clock } = this.options
    const id = transferId(message)
    let resends = 0
    network.send(to, message)
    this.unconfirmed.get(id)?.cancel()
    this.unconfirmed.set(id, clock.repeat(RESEND_MS, () => {
      if (resends++ >= MAX_RESENDS) this.confirm(id)
      else network.send(to, message)
    }))
  }
}

/**
 * @param message - one part of a transfer
 * @returns the identifier with which the receiver confirms the part
 */
export function transferId ({ shard, version, part }: KeyTransferMessage): string {
  return `transfer/${shard}/${version}/${part}`
}

function splitIntoParts (entries: KeyEntry[]): KeyEntry[][] {
  const parts: KeyEntry[][] = [[]]
  let size = 0
  for (const entry of entries) {
    const bytes = entry.key.length + (entry.answer?.body.length ?? 0) + ENTRY_OVERHEAD_BYTES
    if (size > 0 && size + bytes > PART_BYTES) {
      parts.push([])
      size = 0
    }
    parts.at(-1)!.push(entry)
    size += bytes
  }
  return parts
}

/** Size that is added for each entry to that of its key and body, in bytes. */
const ENTRY_OVERHEAD_BYTES = 256
