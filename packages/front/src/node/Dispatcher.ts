import type { Address, Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import type { AnswerSink, Run, RunEnd } from '../types/run.js'
import { Attempt } from './Attempt.js'
import type { Connection } from './Connection.js'
import { WorkerConnections } from './WorkerConnections.js'

/** How runs reach workers. */
export interface DispatcherOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Most connections of this node to a worker (default 8 for each). */
  connectionsFor?: (worker: string) => number
  /** Milliseconds that opening a connection may take (default 500). */
  connectTimeout?: number
  /** Milliseconds to wait for a connection when the share is in use (default 250). */
  connectionPatience?: number
  /** Milliseconds without a sign of life after which a connection is not used for requests that run at most once (default 1000). */
  freshness?: number
}

const DEFAULT_CONNECTIONS = 8
const DEFAULT_CONNECT_TIMEOUT_MS = 500
const DEFAULT_CONNECTION_PATIENCE_MS = 250
const DEFAULT_FRESHNESS_MS = 1000

/** Sends requests to workers over connections that are kept for each worker. */
export class Dispatcher {
  private readonly options: Required<DispatcherOptions>
  private readonly workers = new Map<string, WorkerConnections>()

  constructor (options: DispatcherOptions) {
    this.options = {
      connectionsFor: () => DEFAULT_CONNECTIONS,
      connectTimeout: DEFAULT_CONNECT_TIMEOUT_MS,
      connectionPatience: DEFAULT_CONNECTION_PATIENCE_MS,
      freshness: DEFAULT_FRESHNESS_MS,
      ...options
    }
    options.metrics.gauge('front_connections', () => this.connections())
  }

  /**
   * Runs a request once on one worker.
   *
   * @param run - the request and where it goes
   * @param sink - takes the answer
   * @returns how far it came; the sink is not called after that
   */
  async dispatch (run: Run, sink: AnswerSink): Promise<RunEnd> {
    for (;;) {
      const pool = this.pool(run.worker, run.address)
      const patience = Math.min(this.options.connectionPatience, run.bound)
      const connection = await pool.take(run.fresh, patience, run.signal)
      if (connection === null) return unsent(run)
      const isReused = connection.isOpened
      const end = await this.attempt(run, sink, pool, connection)
      // The worker closed an idle connection at its own time, which says nothing about the worker.
      const isOnlyClosed = isReused && end.step === 'dispatching' && end.fault === 'refused'
      if (!isOnlyClosed || isSpent(run.body)) return end
    }
  }

  /**
   * @param worker - identifier of a worker
   * @returns number of connections to it, those that are closing included
   */
  connectionsTo (worker: string): number {
    let count = 0
    for (const [key, pool] of this.workers) {
      if (key.startsWith(`${worker} `)) count += pool.size
    }
    return count
  }

  /** Closes every connection at once. */
  close (): void {
    for (const pool of this.workers.values()) pool.close()
    this.workers.clear()
  }

  private async attempt (run: Run, sink: AnswerSink, pool: WorkerConnections, connection: Connection): Promise<RunEnd> {
    return await new Promise(resolve => {
      const attempt = new Attempt({
        run,
        sink,
        connection,
        clock: this.options.clock,
        onEnd: end => {
          if (end.fault === null) pool.giveBack(connection)
          if (end.fault === 'silent') this.suspect(run, pool)
          resolve(end)
        }
      })
      attempt.start()
    })
  }

  private connections (): number {
    let count = 0
    for (const pool of this.workers.values()) count += pool.size
    return count
  }

  private suspect (run: Run, pool: WorkerConnections): void {
    this.options.log.write(FRONT_EVENTS.connectionSilent, { worker: run.worker, probe: run.probe })
    this.options.metrics.counter('front_silent_connections').add()
    pool.closeUnproved(this.options.clock.now() - run.probe)
  }

  private pool (worker: string, address: Address): WorkerConnections {
    const key = `${worker} ${address.host} ${address.port}`
    const known = this.workers.get(key)
    if (known !== undefined) return known
    const { clock, connectTimeout, freshness, connectionsFor } = this.options
    const pool = new WorkerConnections({
      address,
      clock,
      connectTimeout,
      freshness,
      limit: () => connectionsFor(worker),
      onEmpty: () => { this.workers.delete(key) }
    })
    this.workers.set(key, pool)
    return pool
  }
}

function isSpent (body: Run['body']): boolean {
  if (body === null || Buffer.isBuffer(body)) return false
  return body.destroyed || body.readableDidRead
}

function unsent (run: Run): RunEnd {
  const fault = run.signal.aborted ? 'caller-gone' : 'no-connection'
  return { step: 'dispatching', fault, detail: 'no connection became free', serviceTime: 0 }
}
