import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { Link, LinkConnector } from '../../src/index.js'
import type { FollowerLink, DeciderMessage, LinkFailure, FollowerMessage } from '../../src/index.js'
import type { NodeClock } from './NodeClock.js'

/** One-way delay of a link. */
const ONE_WAY_DELAY_MS = 1

/** One end of an in-memory link. */
class FakeLink<Incoming, Outgoing> extends Link<Incoming, Outgoing> {
  peer!: FakeLink<Outgoing, Incoming>
  private closed = false

  constructor (readonly own: FakeEndpoint, private readonly other: FakeEndpoint) {
    super()
    own.links.add(this as unknown as FakeLink<unknown, unknown>)
  }

  override send (message: Outgoing): void {
    this.own.sentMessages++
    if (this.closed || isCut(this.own, this.other)) return
    const seen = [this.own, this.other].some(each => each.isEarlierVersion) ? withoutNews(message as object) : message
    if (seen === undefined) return
    const text = JSON.stringify(seen)
    this.other.clock.schedule(ONE_WAY_DELAY_MS + this.other.inboundDelay, () => { if (!this.peer.closed) this.peer.onMessage(JSON.parse(text) as Outgoing) })
  }

  override close (): void {
    if (this.closed) return
    this.closed = true
    if (!isCut(this.own, this.other)) this.other.clock.schedule(ONE_WAY_DELAY_MS, () => { this.peer.drop() })
  }

  drop (): void {
    if (this.closed) return
    this.closed = true
    this.onClose('closed')
  }
}

/** A node's connection to the in-memory network. */
export interface FakeEndpoint {
  clock: NodeClock
  /** Whether all messages from and to the node are lost. */
  isSilenced: boolean
  /** Name of the part of the network that the node is in; nodes of different parts can't reach each other. */
  networkPart: string
  /** Whether the node behaves on its links as one of the version of the program before configurations were sent over links. */
  isEarlierVersion?: boolean
  /** ms by which messages to the node are late. */
  inboundDelay: number
  /** Accepts a new link; absent if no process listens. */
  acceptLink?: (link: FollowerLink) => void
  links: Set<FakeLink<unknown, unknown>>
  /** Number of messages that the node has sent. */
  sentMessages: number
}

/** @returns a message as a node of the earlier version of the program sends or understands it; `undefined` if it knows no such message */
function withoutNews (message: { kind?: string, configurationConfirmedAt?: number, decider?: object }): object | undefined {
  const { configurationConfirmedAt, decider, ...rest } = message
  return rest.kind === 'configuration-wanted' || rest.kind === 'configuration-text' ? undefined : rest
}

function isCut (a: FakeEndpoint, b: FakeEndpoint): boolean {
  return a.isSilenced || b.isSilenced || a.networkPart !== b.networkPart
}

/** Establishes in-memory links. */
export class FakeLinkConnector extends LinkConnector<DeciderMessage, FollowerMessage> {
  constructor (private readonly own: FakeEndpoint, private readonly endpoints: Map<string, FakeEndpoint>) {
    super()
  }

  override async connect (address: string, timeout: number): Promise<Result<Link<DeciderMessage, FollowerMessage>, LinkFailure>> {
    const other = this.endpoints.get(address)
    if (other === undefined || isCut(this.own, other)) return await this.own.clock.deliver(timeout, () => Err('silent'))
    if (other.acceptLink === undefined) return await this.own.clock.deliver(ONE_WAY_DELAY_MS * 2, () => Err('refused'))
    const up = new FakeLink<DeciderMessage, FollowerMessage>(this.own, other)
    const down = new FakeLink<FollowerMessage, DeciderMessage>(other, this.own)
    up.peer = down
    down.peer = up
    other.acceptLink(down)
    return await this.own.clock.deliver(ONE_WAY_DELAY_MS * 2, () => Ok(up))
  }
}
