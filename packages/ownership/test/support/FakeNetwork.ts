import { Network } from '@rattanstep/core'
import type { Address, Incarnation, Message, Random, Receiver } from '@rattanstep/core'
import type { NodeClock, Simulation } from '@rattanstep/stand-ins'

interface Station {
  clock: NodeClock
  address: string
  receiver: Receiver | null
}

/** What carries the messages of all nodes, and the faults in force. */
export class FakeWire {
  readonly stations = new Map<Incarnation, Station>()
  /** Directed pairs of addresses that are cut, as `from>to`. */
  readonly cuts = new Set<string>()
  loss = 0
  duplicates = 0
  /** Most ms that a message takes in ordinary times and when it is late. */
  delay = 2
  lateShare = 0
  latest = 6000
  messages = 0
  bytes = 0
  countsBytes = false
  readonly sentBy = new Map<Incarnation, number>()

  constructor (private readonly simulation: Simulation, private readonly random: Random) {}

  send (from: Incarnation, to: Incarnation, message: Message): void {
    this.messages++
    this.sentBy.set(from, (this.sentBy.get(from) ?? 0) + 1)
    if (this.countsBytes) this.bytes += JSON.stringify(message).length
    if (this.random.next() < this.loss) return
    this.carry(from, to, message)
    if (this.random.next() < this.duplicates) this.carry(from, to, message)
  }

  private carry (from: Incarnation, to: Incarnation, message: Message): void {
    const late = this.random.next() < this.lateShare
    const delay = this.random.next() * (late ? this.latest : this.delay)
    this.simulation.schedule(delay, () => {
      const sender = this.stations.get(from)
      const station = this.stations.get(to)
      if (station === undefined || sender === undefined) return
      if (this.cuts.has(`${sender.address}>${station.address}`)) return
      station.clock.run(() => { station.receiver?.(from, message) })
    })
  }
}

/** The network as one process sees it. */
export class FakeNetwork extends Network {
  private readonly known = new Set<Incarnation>()

  constructor (private readonly wire: FakeWire, private readonly self: Incarnation, clock: NodeClock) {
    super()
    wire.stations.set(self, { clock, address: self.slice(0, self.indexOf('@')), receiver: null })
    this.known.add(self)
  }

  override addPeer (incarnation: Incarnation, _address: Address): void {
    this.known.add(incarnation)
  }

  override send (to: Incarnation, message: Message): void {
    if (this.known.has(to)) this.wire.send(this.self, to, message)
  }

  override setReceiver (receiver: Receiver): void {
    this.wire.stations.get(this.self)!.receiver = receiver
  }
}
