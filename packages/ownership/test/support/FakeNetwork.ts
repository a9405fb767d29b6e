import { Network } from '@rattanstep/core'
import type { Address, Incarnation, Message, Random, Receiver } from '@rattanstep/core'
import type { NodeClock, Simulation } from '@rattanstep/stand-ins'

interface FakeEndpoint {
  clock: NodeClock
  address: string
  receiver: Receiver | null
}

/** Delivers the messages of all nodes, with the faults in force. */
export class FakeWire {
  readonly endpoints = new Map<Incarnation, FakeEndpoint>()
  /** Directed pairs of addresses between which messages are dropped, as `from>to`. */
  readonly cuts = new Set<string>()
  lossProbability = 0
  duplicateProbability = 0
  /** Maximum delay in ms of an ordinary message; a late one is delayed by up to `maxLateDelay`. */
  maxDelay = 2
  lateProbability = 0
  maxLateDelay = 6000
  messageCount = 0
  byteCount = 0
  countsBytes = false
  readonly sentBy = new Map<Incarnation, number>()

  constructor (private readonly simulation: Simulation, private readonly random: Random) {}

  send (from: Incarnation, to: Incarnation, message: Message): void {
    this.messageCount++
    this.sentBy.set(from, (this.sentBy.get(from) ?? 0) + 1)
    if (this.countsBytes) this.byteCount += JSON.stringify(message).length
    if (this.random.next() < this.lossProbability) return
    this.deliver(from, to, message)
    if (this.random.next() < this.duplicateProbability) this.deliver(from, to, message)
  }

  private deliver (from: Incarnation, to: Incarnation, message: Message): void {
    const late = this.random.next() < this.lateProbability
    const delay = this.random.next() * (late ? this.maxLateDelay : this.maxDelay)
    this.simulation.schedule(delay, () => {
      const sender = this.endpoints.get(from)
      const receiver = this.endpoints.get(to)
      if (receiver === undefined || sender === undefined) return
      if (this.cuts.has(`${sender.address}>${receiver.address}`)) return
      receiver.clock.run(() => { receiver.receiver?.(from, message) })
    })
  }
}

/** The network of one process. */
export class FakeNetwork extends Network {
  private readonly known = new Set<Incarnation>()

  constructor (private readonly wire: FakeWire, private readonly self: Incarnation, clock: NodeClock) {
    super()
    wire.endpoints.set(self, { clock, address: self.slice(0, self.indexOf('@')), receiver: null })
    this.known.add(self)
  }

  override addPeer (incarnation: Incarnation, _address: Address): void {
    this.known.add(incarnation)
  }

  override send (to: Incarnation, message: Message): void {
    if (this.known.has(to)) this.wire.send(this.self, to, message)
  }

  override setReceiver (receiver: Receiver): void {
    this.wire.endpoints.get(this.self)!.receiver = receiver
  }
}
