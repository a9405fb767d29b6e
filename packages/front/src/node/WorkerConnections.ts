import type { Address, Clock, Timer } from '@rattanstep/core'
import { Connection } from './Connection.js'

/** How the connections to one worker are kept. */
export interface WorkerConnectionsOptions {
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
  take: (connection: Connection | null) => void
  timer: Timer
}

/** The connections of this node to one worker. A connection counts until its socket is closed. */
export class WorkerConnections {
  private readonly connections = new Set<Connection>()
  private readonly idle: Connection[] = []
  private readonly waiters: Waiter[] = []

  constructor (private readonly options: WorkerConnectionsOptions) {}

  /** Number of connections, those that are closing included. */
  get size (): number {
    return this.connections.size
  }

  /**
   * Takes a connection for one request.
   *
   * @param fresh - whether only a new connection, or one with a recent sign of life, will do
   * @param patience - ms to wait when the limit is reached
   * @param signal - ends the wait
   * @returns a connection that is idle, or `null` when none became free in time
   */
  async take (fresh: boolean, patience: number, signal: AbortSignal): Promise<Connection | null> {
    const ready = this.find(fresh)
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
      const waiter: Waiter = { fresh, take: settle, timer: this.options.clock.schedule(patience, withdraw) }
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
  giveBack (connection: Connection): void {
    // The client settles its own state, and may close the socket, after it has reported the end.
    setImmediate(() => {
      connection.free()
      if (!connection.isIdle) return
      this.idle.push(connection)
      this.serve()
    })
  }

  /**
   * Closes idle connections without a sign of life since a moment, because another one to the same worker fell silent.
   *
   * @param since - monotonic ms
   */
  closeUnproved (since: number): void {
    for (const connection of [...this.idle]) {
      if (connection.lastSign < since) this.discard(connection)
    }
  }

  /** Closes every connection at once. */
  close (): void {
    for (const connection of [...this.connections]) connection.close()
  }

  private find (fresh: boolean): Connection | null {
    const oldest = this.options.clock.now() - this.options.freshness
    for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
      if (!connection.isIdle) continue
      if (!fresh || connection.lastSign >= oldest) return connection
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
        this.serve()
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

  private serve (): void {
    while (this.waiters.length > 0) {
      const connection = this.find(this.waiters[0]!.fresh)
      if (connection === null) return
      this.waiters.shift()!.take(connection)
    }
  }
}
