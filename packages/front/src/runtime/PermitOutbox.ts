import type { Ask, Clock, Incarnation, Network, Release } from '@rattanstep/core'

interface Mail {
  asks: Ask[]
  cancels: string[]
  releases: Release[]
}

/** Collects what is said to each owner in one turn of the loop, and sends one message of a kind. */
export class PermitOutbox {
  private readonly mails = new Map<Incarnation, Mail>()
  private scheduled = false

  constructor (private readonly network: Network, private readonly clock: Clock) {}

  /**
   * @param owner - who is asked
   * @param ask - what for
   */
  ask (owner: Incarnation, ask: Ask): void {
    this.mail(owner).asks.push(ask)
  }

  /**
   * @param owner - who was asked
   * @param ask - identifier of the ask that is withdrawn
   */
  cancel (owner: Incarnation, ask: string): void {
    this.mail(owner).cancels.push(ask)
  }

  /**
   * @param owner - who keeps the books of the worker
   * @param release - the permit that is given back
   */
  release (owner: Incarnation, release: Release): void {
    this.mail(owner).releases.push(release)
  }

  /** Sends what was collected. */
  flush (): void {
    this.scheduled = false
    for (const [owner, { asks, cancels, releases }] of this.mails) {
      if (releases.length > 0) this.network.send(owner, { kind: 'release', releases })
      if (asks.length > 0) this.network.send(owner, { kind: 'ask', asks })
      if (cancels.length > 0) this.network.send(owner, { kind: 'cancel', asks: cancels })
    }
    this.mails.clear()
  }

  private mail (owner: Incarnation): Mail {
    const known = this.mails.get(owner)
    if (known !== undefined) return known
    const mail = { asks: [], cancels: [], releases: [] }
    this.mails.set(owner, mail)
    if (!this.scheduled) this.clock.scheduleImmediate(() => { this.flush() })
    this.scheduled = true
    return mail
  }
}
