import type { Address, Clock, Timer } from '@rattanstep/core'
import { Connection } from './Connection.js'

/** Options of `ConnectionPool`. */
export interface ConnectionPoolOptions {
  address: Address
  clock: Clock
  /** Returns the maximum number of connections to this worker; called whenever a connection is needed. */
  limit: () => number
  /** Maximum ms to open a connection. */
  connectTimeout: number
  /** Milliseconds without activity after which a connection is no longer fresh. */
  freshness: number
  /** Called when the last connection has closed. */
  onEmpty: () => void
}

interface Waiter {
  fresh: boolean
  settle: (connection: Connection | null) => void
  timer: Timer
}

/** The connections of this node to one worker. A connection counts towards the limit until its socket has closed. */
export class ConnectionPool {
  private readonly connections = new Set<Connection>()
  private readonly idle: Connection[] = []
  private readonly waiters: Waiter[] = []

  constructor (private readonly options: ConnectionPoolOptions) {}

  /** Number of connections, including those that are closing. */
  get size (): number {
    return this.connections.size
  }

  /**
   * Acquires a connection for one request.
   *
   * @param fresh - whether the connection must be new or recently active
   * @param maxWait - maximum ms to wait when the limit is reached
   * @param signal - ends the wait when aborted
   * @returns an idle connection, or `null` when none became free in time
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
   * Returns a connection to the pool after a complete answer.
   *
   * @param connection - a connection that was acquired from this pool
   */
  release (connection: Connection): void {
    // The HTTP client updates its state, and may close the socket, only after it has reported the end of the answer.
    setImmediate(() => {
      connection.free()
      if (!connection.isIdle) return
      this.idle.push(connection)
      this.serveWaiters()
    })
  }

  /**
   * Closes the idle connections without recent activity. Used when another connection to the same worker has fallen
   * silent, because then these may be broken too.
   *
   * @param since - monotonic ms; connections without activity since then are closed
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
