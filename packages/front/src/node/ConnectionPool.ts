import type { Address, Clock, Timer } from '@rattanstep/core'
import { Connection } from './Connection.js'

/** How the connections to one worker are kept. */
export interface ConnectionPoolOptions {
  address: Address
  clock: Clock
  /** Most connections to this worker, asked at each use. */
  limit: () => number
  /** Milliseconds that opening a connection may take. */
  connectTimeout: number
  /** Milliseconds without a sign of life after which a connection counts as unproved. */
  freshness: number
  /** Called when the last connection has closed. */
  onEmpty: () => void
}

interface Waiter {
  fresh: boolean
  settle: (connection: Connection | null) => void
  timer: Timer
}

/** The connections of this node to one worker. A connection counts until its socket is closed. */
export class ConnectionPool {
  private readonly connections = new Set<Connection>()
  private readonly idle: Connection[] = []
  private readonly waiters: Waiter[] = []

  constructor (private readonly options: ConnectionPoolOptions) {}

  /** Number of connections, those that are closing included. */
  get size (): number {
    return this.connections.size
  }

  /**
   * Takes a connection for one request.
   *
   * @param fresh - whether only a new connection, or one with a recent sign of life, will do
   * @param maxWait - ms to wait when the limit is reached
   * @param signal - ends the wait
   * @returns a connection that is idle, or `null` when none became free in time
   */
  async acquire (fresh: boolean, maxWait: number, signal: AbortSignal): Promise<Connection | null> {
    const ready = this.findUsable(fresh)
    if (ready !== null) return ready
    return await new Promise(resolve => {
      const settle = (connection: Connection | null): void => {
        waiter.timer.cancel()
        signal.removeEventListener('abort', withdraw)
        resolve(connection)
      }
      const withdraw = (): void => {
        const index = this.waiters.indexOf(waiter)
        if (index >= 0) this.waiters.splice(index, 1)
        settle(null)
      }
      const waiter: Waiter = { fresh, settle, timer: this.options.clock.schedule(maxWait, withdraw) }
      this.waiters.push(waiter)
      signal.addEventListener('abort', withdraw, { once: true })
      if (signal.aborted) withdraw()
    })
  }

  /**
   * Gives a connection back after a whole answer.
   *
   * @param connection - a connection that was taken here
   */
  release (connection: Connection): void {
    // The client settles its own state, and may close the socket, after it has reported the end.
    setImmediate(() => {
      connection.free()
      if (!connection.isIdle) return
      this.idle.push(connection)
      this.serveWaiters()
    })
  }

  /**
   * Closes idle connections without a sign of life since a moment, because another one to the same worker fell silent.
   *
   * @param since - monotonic ms
   */
  closeInactive (since: number): void {
    for (const connection of [...this.idle]) {
      if (connection.lastActivityAt < since) this.discard(connection)
    }
  }

  /** Closes every connection at once. */
  close (): void {
    for (const connection of [...this.connections]) connection.close()
  }

  private findUsable (fresh: boolean): Connection | null {
    const oldestFresh = this.options.clock.now() - this.options.freshness
    for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
      if (!connection.isIdle) continue
      if (!fresh || connection.lastActivityAt >= oldestFresh) return connection
      connection.close()
    }
    if (this.connections.size >= this.options.limit()) return null
    return this.open()
  }

  private open (): Connection {
    const { address, clock, connectTimeout } = this.options
    const connection = new Connection({
      address,
      clock,
      connectTimeout,
      onClosed: closed => {
        this.connections.delete(closed)
        this.serveWaiters()
        if (this.connections.size === 0) this.options.onEmpty()
      }
    })
    this.connections.add(connection)
    return connection
  }

  private discard (connection: Connection): void {
    const index = this.idle.indexOf(connection)
    if (index >= 0) this.idle.splice(index, 1)
    connection.close()
  }

  private serveWaiters (): void {
    while (this.waiters.length > 0) {
      const connection = this.findUsable(this.waiters[0]!.fresh)
      if (connection === null) return
      this.waiters.shift()!.settle(connection)
    }
  }
}
