import { Network } from '@rattanstep/core'
import type { Address, Incarnation, Message, Receiver } from '@rattanstep/core'
import type { FakeWire } from './FakeWire.js'
import type { NodeClock } from './NodeClock.js'

/** The network as one simulated process sees it. */
export class FakeNetwork extends Network {
  private readonly known = new Set<Incarnation>()

  /** @param options - what carries the messages, and whose network this is */
  constructor (private readonly options: { wire: FakeWire, self: Incarnation, clock: NodeClock }) {
    super()
    const { wire, self, clock } = options
    wire.stations.set(self, { clock, address: self.slice(0, self.indexOf('@')), receiver: null })
    this.known.add(self)
  }

  override addPeer (incarnation: Incarnation, _address: Address): void {
    this.known.add(incarnation)
  }

  override removePeer (incarnation: Incarnation): void {
    this.known.delete(incarnation)
  }

  override send (to: Incarnation, message: Message): void {
    if (this.known.has(to)) this.options.wire.send(this.options.self, to, message)
  }

  override setReceiver (receiver: Receiver): void {
    const { wire, self } = this.options
    wire.stations.get(self)!.receiver = receiver
  }
}
