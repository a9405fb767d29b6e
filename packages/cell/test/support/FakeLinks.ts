import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { Link, Linker } from '../../src/index.js'
import type { DownLink, DownMessage, LinkFailure, UpMessage } from '../../src/index.js'
import type { LifeClock } from './LifeClock.js'

/** ms one way. */
const WAY = 1

/** One end of a link in memory. */
class FakeLink<Incoming, Outgoing> extends Link<Incoming, Outgoing> {
  peer!: FakeLink<Outgoing, Incoming>
  private closed = false

  constructor (readonly end: FakeEnd, private readonly other: FakeEnd) {
    super()
    end.links.add(this as unknown as FakeLink<unknown, unknown>)
  }

  override send (message: Outgoing): void {
    if (this.closed || this.end.silenced || this.other.silenced) return
    const text = JSON.stringify(message)
    this.other.clock.schedule(WAY, () => { if (!this.peer.closed) this.peer.onMessage(JSON.parse(text) as Outgoing) })
  }

  override close (): void {
    if (this.closed) return
    this.closed = true
    if (!this.end.silenced && !this.other.silenced) this.other.clock.schedule(WAY, () => { this.peer.drop() })
  }

  drop (): void {
    if (this.closed) return
    this.closed = true
    this.onClose('closed')
  }
}

/** A node as links see it. */
export interface FakeEnd {
  clock: LifeClock
  /** Nothing gets through to it or from it. */
  silenced: boolean
  /** Takes a new link; absent when no process listens. */
  greet?: (link: DownLink) => void
  links: Set<FakeLink<unknown, unknown>>
}

/** Makes links in memory. */
export class FakeLinker extends Linker<DownMessage, UpMessage> {
  constructor (private readonly own: FakeEnd, private readonly ends: Map<string, FakeEnd>) {
    super()
  }

  override async connect (address: string, timeout: number): Promise<Result<Link<DownMessage, UpMessage>, LinkFailure>> {
    const other = this.ends.get(address)
    if (other === undefined || other.silenced || this.own.silenced) return await this.own.clock.deliver(timeout, () => Err('silent'))
    if (other.greet === undefined) return await this.own.clock.deliver(WAY * 2, () => Err('refused'))
    const up = new FakeLink<DownMessage, UpMessage>(this.own, other)
    const down = new FakeLink<UpMessage, DownMessage>(other, this.own)
    up.peer = down
    down.peer = up
    other.greet(down)
    return await this.own.clock.deliver(WAY * 2, () => Ok(up))
  }
}
