import type { Incarnation, Network } from '@rattanstep/core'
import { Takeover } from './Takeover.js'

/** Takeovers in progress, and workers that may still run requests which a previous owner admitted and no node claims. */
export class Takeovers {
  private readonly takeovers = new Map<string, Takeover>()
  /** Monotonic time in ms after which no unclaimed request can still run, by worker. */
  private readonly unclaimedUntil = new Map<string, number>()

  /** @param network - network over which nodes are asked for their permits */
  constructor (private readonly network: Network) {}

  /**
   * Starts a takeover and asks the nodes for their permits.
   *
   * @param options - see `Takeover`
   */
  start (options: Takeover['options']): void {
    const takeover = new Takeover(options)
    this.takeovers.set(options.worker, takeover)
    this.sendRequests(takeover)
  }

  /**
   * @param worker - identifier of a worker
   * @returns its takeover, if one is in progress
   */
  get (worker: string): Takeover | undefined {
    return this.takeovers.get(worker)
  }

  /**
   * @param worker - identifier of a worker
   * @returns whether its takeover is in progress
   */
  has (worker: string): boolean {
    return this.takeovers.has(worker)
  }

  /**
   * Ends a takeover.
   *
   * @param worker - identifier of a worker of which everything that runs is known
   * @param unclaimedUntil - monotonic time in ms until which unclaimed requests stay counted; `null` when there are none
   */
  finish (worker: string, unclaimedUntil: number | null): void {
    this.takeovers.delete(worker)
    if (unclaimedUntil !== null) this.unclaimedUntil.set(worker, unclaimedUntil)
  }

  /** @param worker - identifier of a worker that this node no longer owns */
  remove (worker: string): void {
    this.takeovers.delete(worker)
    this.unclaimedUntil.delete(worker)
  }

  /** Repeats the request for permits to every node that has not answered it. */
  requestPermits (): void {
    for (const takeover of this.takeovers.values()) this.sendRequests(takeover)
  }

  /**
   * Records that a node reported its permits.
   *
   * @param front - the node
   * @param version - version of the assignment that it follows
   */
  recordAnswer (front: Incarnation, version: number): void {
    for (const takeover of this.takeovers.values()) takeover.recordAnswer(front, version)
  }

  /** @param front - a node that was lost and will not answer */
  removeFront (front: Incarnation): void {
    for (const takeover of this.takeovers.values()) takeover.removeFront(front)
  }

  /**
   * Removes the workers whose unclaimed requests have ended.
   *
   * @param now - monotonic time in ms
   * @returns identifiers of these workers
   */
  removeExpiredUnclaimed (now: number): string[] {
    const ended = [...this.unclaimedUntil].filter(([, until]) => until <= now).map(([worker]) => worker)
    for (const worker of ended) this.unclaimedUntil.delete(worker)
    return ended
  }

  private sendRequests (takeover: Takeover): void {
    const { version, worker } = takeover.options
    for (const front of takeover.unanswered()) this.network.send(front, { kind: 'permits-request', version, workers: [worker] })
  }
}
