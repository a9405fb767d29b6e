import { Network } from '@rattanstep/core'
import type { Address, Incarnation, Message, Receiver } from '@rattanstep/core'
import type { FakeTransport } from './FakeTransport.js'
import type { NodeClock } from './NodeClock.js'

/** The network interface of one simulated process. */
export class FakeNetwork extends Network {
  private readonly peers = new Set<Incarnation>()

  /** @param options - `transport`: delivers messages; `self`: incarnation of the process; `clock`: its clock */
  constructor (private readonly options: { transport: FakeTransport, self: Incarnation, clock: NodeClock }) {
    super()
    const { transport, self, clock } = options
    transport.processes.set(self, { clock, address: self.slice(0, self.indexOf('@')), receiver: null })
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
