import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { Link, LinkConnector } from '../runtime/Link.js'
import type { LinkFailure } from '../runtime/Link.js'

/** Maximum length of a message; several times the largest job submission. */
const MAX_MESSAGE_CHARS = 1_000_000

/** A link over TCP. Each message is one line of JSON. */
export class TcpLink<Incoming, Outgoing> extends Link<Incoming, Outgoing> {
  private partialLine = ''
  private isClosed = false

  constructor (private readonly socket: Socket) {
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
    this.socket.write(JSON.stringify(message) + '\n')
  }

  override close (): void {
    this.isClosed = true
    this.socket.destroy()
  }

  private handleData (text: string): void {
    const lines = (this.partialLine + text).split('\n')
    this.partialLine = lines.pop()!
    if (this.partialLine.length > MAX_MESSAGE_CHARS) return this.fail('message too long')
    for (const line of lines) {
      if (this.isClosed) return
      let message: Incoming
      try {
        message = JSON.parse(line) as Incoming
      } catch (error) {
        return this.fail(String(error))
      }
      this.onMessage(message)
    }
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
export class TcpLinkConnector<Incoming, Outgoing> extends LinkConnector<Incoming, Outgoing> {
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
        resolve(Ok(new TcpLink<Incoming, Outgoing>(socket)))
      })
    })
  }
}

/**
 * Accepts links from other nodes.
 *
 * @param address - host and port on which to listen
 * @param onLink - called for each new link
 * @returns the server
 */
export function listenForLinks<Incoming, Outgoing> (address: { host: string, port: number }, onLink: (link: Link<Incoming, Outgoing>) => void): Server {
  const server = createServer(socket => { onLink(new TcpLink<Incoming, Outgoing>(socket)) })
  return server.listen(address.port, address.host)
}
