import type { Ask, Clock, Incarnation, Network, Release } from '@rattanstep/core'

interface Batch {
  asks: Ask[]
  cancels: string[]
  releases: Release[]
}

/** Collects the asks, cancellations and releases for each owner in one turn of the event loop, and sends one message of each kind. */
export class PermitOutbox {
  private readonly batches = new Map<Incarnation, Batch>()
  private isFlushScheduled = false

  constructor (private readonly network: Network, private readonly clock: Clock) {}

  /**
   * Queues an ask.
   *
   * @param owner - the owner to ask
   * @param ask - the ask
   */
  ask (owner: Incarnation, ask: Ask): void {
    this.batchFor(owner).asks.push(ask)
  }

  /**
   * Queues the cancellation of an ask.
   *
   * @param owner - the owner that was asked
   * @param ask - identifier of the ask to withdraw
   */
  cancel (owner: Incarnation, ask: string): void {
    this.batchFor(owner).cancels.push(ask)
  }

  /**
   * Queues the release of a permit.
   *
   * @param owner - the owner of the worker
   * @param release - the permit to give back
   */
  release (owner: Incarnation, release: Release): void {
    this.batchFor(owner).releases.push(release)
  }

  /** Sends the collected messages. */
  flush (): void {
    this.isFlushScheduled = false
    for (const [owner, { asks, cancels, releases }] of this.batches) {
      if (releases.length > 0) this.network.send(owner, { kind: 'release', releases })
      if (asks.length > 0) this.network.send(owner, { kind: 'ask', asks })
      if (cancels.length > 0) this.network.send(owner, { kind: 'cancel', asks: cancels })
    }
    this.batches.clear()
  }

  private batchFor (owner: Incarnation): Batch {
    const known = this.batches.get(owner)
    if (known !== undefined) return known
    const batch = { asks: [], cancels: [], releases: [] }
    this.batches.set(owner, batch)
    if (!this.isFlushScheduled) this.clock.scheduleImmediate(() => { this.flush() })
    this.isFlushScheduled = true
    return batch
  }
}
