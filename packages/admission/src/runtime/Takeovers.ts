import type { Incarnation, Network } from '@rattanstep/core'
import { Takeover } from './Takeover.js'

/** The workers whose books are not complete, and room of former owners that no node claims. */
export class Takeovers {
  private readonly takeovers = new Map<string, Takeover>()
  /** Monotonic ms after which nothing unclaimed can still run, by worker. */
  private readonly unclaimedUntil = new Map<string, number>()

  /** @param network - where nodes are asked for their permits */
  constructor (private readonly network: Network) {}

  /** @param options - see `Takeover` */
  start (options: Takeover['options']): void {
    const takeover = new Takeover(options)
    this.takeovers.set(options.worker, takeover)
    this.sendRequests(takeover)
  }

  /**
   * @param worker - a worker
   * @returns what is still to be learned about it, if anything is
   */
  get (worker: string): Takeover | undefined {
    return this.takeovers.get(worker)
  }

  /**
   * @param worker - a worker
   * @returns whether its books are not complete
   */
  has (worker: string): boolean {
    return this.takeovers.has(worker)
  }

  /**
   * @param worker - a worker whose books are complete now
   * @param unclaimedUntil - monotonic ms until which unclaimed room stays counted, or `null` when there is none
   */
  finish (worker: string, unclaimedUntil: number | null): void {
    this.takeovers.delete(worker)
    if (unclaimedUntil !== null) this.unclaimedUntil.set(worker, unclaimedUntil)
  }

  /** @param worker - a worker that this node no longer owns */
  remove (worker: string): void {
    this.takeovers.delete(worker)
    this.unclaimedUntil.delete(worker)
  }

  /** Asks every silent node for its permits again. */
  requestPermits (): void {
    for (const takeover of this.takeovers.values()) this.sendRequests(takeover)
  }

  /**
   * @param front - a node that told its permits
   * @param version - version of the assignment that it follows
   */
  recordAnswer (front: Incarnation, version: number): void {
    for (const takeover of this.takeovers.values()) takeover.recordAnswer(front, version)
  }

  /** @param front - a node that is gone and will not answer */
  removeFront (front: Incarnation): void {
    for (const takeover of this.takeovers.values()) takeover.removeFront(front)
  }

  /**
   * @param now - monotonic ms
   * @returns workers whose unclaimed room need not be counted any longer; each is named once
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
