import type { Clock, Incarnation, KeyEntry, KeyTransferMessage, Network, Timer } from '@rattanstep/core'

/** Time between repeats of a part that was not confirmed, in ms. */
const RESEND_MS = 100

/** Repeats of a part before it is given up; the new home then goes by its epoch. */
const MAX_RESENDS = 50

/** Bytes of entries in one part. */
const PART_BYTES = 512 * 1024

/** Hands the keys of a shard to its next home, part by part, until each part is confirmed. */
export class KeyTransfers {
  private readonly unconfirmed = new Map<string, Timer>()

  constructor (private readonly options: { network: Network, clock: Clock }) {}

  /** Number of parts that were not confirmed yet. */
  get size (): number {
    return this.unconfirmed.size
  }

  /**
   * @param to - the next home
   * @param transfer - the shard, the version that made the receiver the home, and the sender's epoch
   * @param entries - every key of the shard
   */
  start (to: Incarnation, transfer: Pick<KeyTransferMessage, 'shard' | 'version' | 'epoch'>, entries: KeyEntry[]): void {
    const parts = splitIntoParts(entries)
    for (const [part, chunk] of parts.entries()) {
      this.send(to, { kind: 'key-transfer', ...transfer, part, parts: parts.length, entries: chunk })
    }
  }

  /**
   * @param id - of a confirmed part
   * @returns whether it was waited for
   */
  confirm (id: string): boolean {
    const timer = this.unconfirmed.get(id)
    timer?.cancel()
    return this.unconfirmed.delete(id)
  }

  /** Gives up what was not confirmed. */
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
 * @returns the identifier that confirms it
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

/** Bytes counted for an entry beside its key and body. */
const ENTRY_OVERHEAD_BYTES = 256
