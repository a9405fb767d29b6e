import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { Link, LinkConnector } from '../runtime/Link.js'
import type { LinkFailure } from '../runtime/Link.js'
import type { LimitMonitor } from '../callers/LimitMonitor.js'
import type { TrafficMeter } from './TrafficMeter.js'

/** Maximum length of a message; several times the largest job submission. */
const MAX_MESSAGE_CHARS = 1_000_000

/** Any message on a link. */
interface Message {
  kind: string
}

/** A link over TCP. Each message is one line of JSON. */
export class TcpLink<Incoming extends Message, Outgoing extends Message> extends Link<Incoming, Outgoing> {
  private partialLine = ''
  private hasSaidHello = true
  private maxChars = MAX_MESSAGE_CHARS
  private isClosed = false
  private onHello: () => void = () => {}
  private onTooLong: () => void = () => {}

  constructor (private readonly socket: Socket, private readonly traffic?: TrafficMeter) {
    super()
    socket.setNoDelay(true)
    socket.setEncoding('utf8')
    socket.on('data', (text: string) => { this.handleData(text) })
    socket.on('error', error => { this.end(error.message) })
    socket.on('close', () => { this.end('closed') })
  }

  override send (message: Outgoing): void {
    if (this.isClosed) return
    // Messages of one turn of the event loop are written together.
    if (this.socket.writableCorked === 0) {
      this.socket.cork()
      process.nextTick(() => { this.socket.uncork() })
    }
    const line = JSON.stringify(message) + '\n'
    this.traffic?.record('sent', message.kind, line.length)
    this.socket.write(line)
  }

  override close (): void {
    this.isClosed = true
    this.socket.destroy()
  }

  /** Accepts only messages of up to a number of characters until the other end has said hello. `onHello` is called then. */
  expectHello (maxChars: number, { onHello, onTooLong }: { onHello: () => void, onTooLong: () => void }): void {
    this.hasSaidHello = false
    this.maxChars = maxChars
    this.onHello = onHello
    this.onTooLong = onTooLong
  }

  private handleData (text: string): void {
    const lines = (this.partialLine + text).split('\n')
    this.partialLine = lines.pop()!
    if (this.partialLine.length > this.maxChars) return this.failTooLong()
    for (const line of lines) {
      if (this.isClosed) return
      if (line.length > this.maxChars) return this.failTooLong()
      let message: Incoming | null
      try {
        message = JSON.parse(line) as Incoming | null
      } catch (error) {
        return this.fail(String(error))
      }
      if (typeof message?.kind !== 'string') return this.fail('the message has no kind')
      if (!this.hasSaidHello && message.kind === 'hello') {
        this.hasSaidHello = true
        this.maxChars = MAX_MESSAGE_CHARS
        this.onHello()
      }
      this.traffic?.record('received', message.kind, line.length + 1)
      this.onMessage(message)
    }
  }

  private failTooLong (): void {
    this.onTooLong()
    this.fail('message too long')
  }

  private fail (reason: string): void {
    this.end(reason)
    this.close()
  }

  private end (reason: string): void {
    if (this.isClosed) return
    this.isClosed = true
    this.onClose(reason)
  }
}

/** Establishes links over TCP. */
export class TcpLinkConnector<Incoming extends Message, Outgoing extends Message> extends LinkConnector<Incoming, Outgoing> {
  constructor (private readonly traffic?: TrafficMeter) {
    super()
  }

  override async connect (address: string, timeout: number): Promise<Result<Link<Incoming, Outgoing>, LinkFailure>> {
    const [host, port] = address.split(':')
    return await new Promise(resolve => {
      const socket = connect({ host, port: Number(port) })
      const timer = setTimeout(() => {
        socket.destroy()
        resolve(Err('silent'))
      }, timeout)
      socket.once('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer)
        resolve(Err(error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET' ? 'refused' : 'silent'))
      })
      socket.once('connect', () => {
        clearTimeout(timer)
        socket.removeAllListeners('error')
        resolve(Ok(new TcpLink<Incoming, Outgoing>(socket, this.traffic)))
      })
    })
  }
}

/**
 * Accepts links from other nodes.
 *
 * @param address - host and port on which to listen
 * @param onLink - called for each new link
 * @param traffic - counts the messages
 * @param limits - limits on nodes that have not said hello, and on all
 * @returns the server
 */
export function listenForLinks<Incoming extends Message, Outgoing extends Message> (address: { host: string, port: number }, onLink: (link: Link<Incoming, Outgoing>) => void, traffic?: TrafficMeter, limits?: LinkLimits): Server {
  let open = 0
  /** Links without a hello, the oldest first. */
  const fresh = new Set<Socket>()
  const server = createServer(socket => {
    if (limits !== undefined && open >= limits.links) {
      limits.monitor.reach('links')
      socket.destroy()
      return
    }
    const link = new TcpLink<Incoming, Outgoing>(socket, traffic)
    if (limits !== undefined) {
      open++
      socket.once('close', () => { open-- })
      expectHello(link, socket, fresh, limits)
    }
    onLink(link)
  })
  return server.listen(address.port, address.host)
}

/** Limits on links that other nodes open. */
export interface LinkLimits {
  /** Links at the same time. */
  links: number
  /** Links without a hello at the same time; the oldest is closed first. */
  newLinks: number
  /** Characters of a message before the hello. */
  helloChars: number
  /** Time to the hello in ms. */
  helloTimeout: number
  monitor: LimitMonitor
}

function expectHello (link: Pick<TcpLink<Message, Message>, 'expectHello'>, socket: Socket, fresh: Set<Socket>, { newLinks, helloChars, helloTimeout, monitor }: LinkLimits): void {
  const [oldest] = fresh
  if (oldest !== undefined && fresh.size >= newLinks) {
    monitor.reach('newLinks')
    oldest.destroy()
    fresh.delete(oldest)
  }
  fresh.add(socket)
  const timer = setTimeout(() => {
    monitor.reach('helloTimeout')
    socket.destroy()
  }, helloTimeout)
  const end = (): void => {
    clearTimeout(timer)
    fresh.delete(socket)
  }
  socket.once('close', end)
  link.expectHello(helloChars, { onHello: end, onTooLong: () => { monitor.reach('helloChars') } })
}
