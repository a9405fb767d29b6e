import { Network, SystemClock, SystemRandom } from '@rattanstep/core'
import type { Address, Clock, Incarnation, Message, Random, Receiver } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { Link } from './Link.js'
import { PeerServer } from './PeerServer.js'

/** Options of the network of one node. */
export interface GrpcNetworkOptions {
  self: Incarnation
  /** Address to listen on; with port 0 the operating system chooses a port. */
  address: Address
  secret: string
  log: Log
  /** Default: the system clock. */
  clock?: Clock
  /** Default: the random numbers of the runtime. */
  random?: Random
}

/** Network over gRPC streams, one stream for each direction between two nodes. */
export class GrpcNetwork extends Network {
  private readonly links = new Map<Incarnation, Link>()
  private readonly discoveryLinks = new Set<Link>()
  private readonly server: PeerServer
  private readonly clock: Clock
  private readonly random: Random
  private receiver: Receiver = () => {}

  constructor (private readonly options: GrpcNetworkOptions) {
    super()
    this.clock = options.clock ?? new SystemClock()
    this.random = options.random ?? new SystemRandom()
    const { self, address, secret, log } = options
    const receive: Receiver = (from, message) => { this.receiver(from, message) }
    this.server = new PeerServer({ self, address, secret, log, clock: this.clock, receive })
  }

  /**
   * Starts listening for other nodes.
   *
   * @returns the bound address
   * @throws Error when the address cannot be bound
   */
  async listen (): Promise<Address> {
    return await this.server.listen()
  }

  override addPeer (incarnation: Incarnation, address: Address): void {
    const { self, secret, log } = this.options
    if (incarnation === self || this.links.has(incarnation)) return
    const { clock, random } = this
    this.links.set(incarnation, new Link({ self, peer: incarnation, address, secret, log, clock, random }))
  }

  /**
   * Connects to the node at an address without knowing its incarnation.
   *
   * @param address - address of the node
   * @param onIdentified - called with the incarnation of the node each time it has been connected to; from then on `send` accepts that incarnation
   */
  discover (address: Address, onIdentified: (peer: Incarnation) => void): void {
    const { self, secret, log } = this.options
    const { clock, random } = this
    const onLinkIdentified = (peer: Incarnation): void => {
      this.registerLink(peer, link)
      onIdentified(peer)
    }
    const link = new Link({ self, peer: null, address, secret, log, clock, random, onIdentified: onLinkIdentified })
    this.discoveryLinks.add(link)
    link.open()
  }

  private registerLink (peer: Incarnation, link: Link): void {
    if (peer === this.options.self || this.links.has(peer)) return
    this.discoveryLinks.delete(link)
    this.links.set(peer, link)
  }

  override removePeer (incarnation: Incarnation): void {
    this.links.get(incarnation)?.close()
    this.links.delete(incarnation)
  }

  /** @returns nodes that were added or discovered and have not been removed */
  knownNodes (): Incarnation[] {
    return [...this.links.keys()]
  }

  override send (to: Incarnation, message: Message): void {
    if (to === this.options.self) {
      setImmediate(() => { this.receiver(to, message) })
      return
    }
    this.links.get(to)?.send(message)
  }

  override setReceiver (receiver: Receiver): void {
    this.receiver = receiver
  }

  /** Stops listening and closes every connection. */
  close (): void {
    for (const link of this.links.values()) link.close()
    for (const link of this.discoveryLinks) link.close()
    this.links.clear()
    this.discoveryLinks.clear()
    this.server.close()
  }
}
