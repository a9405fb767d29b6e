import { Network } from '@rattanstep/core'
import type { Address, Incarnation, Message, Receiver } from '@rattanstep/core'
import type { FakeTransport } from './FakeTransport.js'
import type { NodeClock } from './NodeClock.js'

/** The network as one simulated process sees it. */
export class FakeNetwork extends Network {
  private readonly peers = new Set<Incarnation>()

  /** @param options - what carries the messages, and whose network this is */
  constructor (private readonly options: { transport: FakeTransport, self: Incarnation, clock: NodeClock }) {
    super()
    const { transport: wire, self, clock } = options
    wire.processes.set(self, { clock, address: self.slice(0, self.indexOf('@')), receiver: null })
    this.peers.add(self)
  }

  override addPeer (incarnation: Incarnation, _address: Address): void {
    this.peers.add(incarnation)
  }

  override removePeer (incarnation: Incarnation): void {
    this.peers.delete(incarnation)
  }

  override send (to: Incarnation, message: Message): void {
    if (this.peers.has(to)) this.options.transport.send(this.options.self, to, message)
  }

  override setReceiver (receiver: Receiver): void {
    const { transport, self } = this.options
    transport.processes.get(self)!.receiver = receiver
  }
}
