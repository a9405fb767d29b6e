import type { Address, Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import type { AnswerSink, Run, RunEnd } from '../types/run.js'
import { Attempt } from './Attempt.js'
import type { Connection } from './Connection.js'
import { ConnectionPool } from './ConnectionPool.js'

/** Options of `Dispatcher`. */
export interface DispatcherOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Returns the maximum number of connections of this node to a worker (default 8). */
  connectionsFor?: (worker: string) => number
  /** Maximum ms to open a connection (default 500). */
  connectTimeout?: number
  /** Maximum ms to wait for a connection when all of them are in use (default 250). */
  connectionWait?: number
  /** Milliseconds without activity after which a connection is not used for requests that must run at most once (default 1000). */
  freshness?: number
}

const DEFAULT_CONNECTIONS = 8
const DEFAULT_CONNECT_TIMEOUT_MS = 500
const DEFAULT_CONNECTION_WAIT_MS = 250
const DEFAULT_FRESHNESS_MS = 1000

/** Sends requests to workers over one pool of connections for each worker. */
export class Dispatcher {
  private readonly options: Required<DispatcherOptions>
  private readonly pools = new Map<string, ConnectionPool>()

  constructor (options: DispatcherOptions) {
    this.options = {
      connectionsFor: () => DEFAULT_CONNECTIONS,
      connectTimeout: DEFAULT_CONNECT_TIMEOUT_MS,
      connectionWait: DEFAULT_CONNECTION_WAIT_MS,
      freshness: DEFAULT_FRESHNESS_MS,
      ...options
    }
    options.metrics.gauge('front_connections', () => this.countConnections())
  }

  /**
   * Sends a request to one worker. At most one connection carries any byte of it.
   *
   * @param run - the request and its worker
   * @param sink - receives the answer
   * @returns how the attempt ended; the sink is not called after that
   */
  async dispatch (run: Run, sink: AnswerSink): Promise<RunEnd> {
    for (;;) {
      const pool = this.poolFor(run.worker, run.address)
      const maxWait = Math.min(this.options.connectionWait, run.bound)
      const connection = await pool.acquire(run.fresh, maxWait, run.signal)
      if (connection === null) return unsentEnd(run)
      const isReused = connection.isOpened
      const end = await this.attempt(run, sink, pool, connection)
      // The worker closed the connection while it was idle. That is no sign of a failure, so another connection is used.
      const wasClosedWhileIdle = isReused && end.step === 'dispatching' && end.fault === 'refused'
      if (!wasClosedWhileIdle || isConsumed(run.body)) return end
    }
  }

  /**
   * @param worker - identifier of a worker
   * @returns number of connections to the worker, including those that are closing
   */
  connectionsTo (worker: string): number {
    let count = 0
    for (const [key, pool] of this.pools) {
      if (key.startsWith(`${worker} `)) count += pool.size
    }
    return count
  }

  /** Closes every connection at once. */
  close (): void {
    for (const pool of this.pools.values()) pool.close()
    this.pools.clear()
  }

  private async attempt (run: Run, sink: AnswerSink, pool: ConnectionPool, connection: Connection): Promise<RunEnd> {
    return await new Promise(resolve => {
      const attempt = new Attempt({
        run,
        sink,
        connection,
        clock: this.options.clock,
        onEnd: end => {
          if (end.fault === null) pool.release(connection)
          if (end.fault === 'silent') this.handleSilence(run, pool)
          resolve(end)
        }
      })
      attempt.start()
    })
  }

  private countConnections (): number {
    let count = 0
    for (const pool of this.pools.values()) count += pool.size
    return count
  }

  private handleSilence (run: Run, pool: ConnectionPool): void {
    this.options.log.write(FRONT_EVENTS.connectionSilent, { worker: run.worker, probe: run.probe })
    this.options.metrics.counter('front_silent_connections').add()
    pool.closeInactive(this.options.clock.now() - run.probe)
  }

  private poolFor (worker: string, address: Address): ConnectionPool {
    const key = `${worker} ${address.host} ${address.port}`
    const known = this.pools.get(key)
    if (known !== undefined) return known
    const { clock, connectTimeout, freshness, connectionsFor } = this.options
    const pool = new ConnectionPool({
      address,
      clock,
      connectTimeout,
      freshness,
      limit: () => connectionsFor(worker),
      onEmpty: () => { this.pools.delete(key) }
    })
    this.pools.set(key, pool)
    return pool
  }
}

function isConsumed (body: Run['body']): boolean {
  if (body === null || Buffer.isBuffer(body)) return false
  return body.destroyed || body.readableDidRead
}

function unsentEnd (run: Run): RunEnd {
  const fault = run.signal.aborted ? 'caller-gone' : 'no-connection'
  return { step: 'dispatching', fault, detail: 'no connection to the worker became free', serviceTime: 0 }
}
