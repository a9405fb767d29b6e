import type { Incarnation, Network } from '@rattanstep/core'
import { Takeover } from './Takeover.js'

/** The workers whose books are not complete, and room of former owners that no node claims. */
export class Takeovers {
  private readonly open = new Map<string, Takeover>()
  /** Monotonic ms after which nothing unclaimed can still run, by worker. */
  private readonly remnants = new Map<string, number>()

  /** @param network - where nodes are asked for their permits */
  constructor (private readonly network: Network) {}

  /** @param options - see `Takeover` */
  begin (options: Takeover['options']): void {
    const takeover = new Takeover(options)
    this.open.set(options.worker, takeover)
    this.request(takeover)
  }

  /**
   * @param worker - a worker
   * @returns what is still to be learned about it, if anything is
   */
  get (worker: string): Takeover | undefined {
    return this.open.get(worker)
  }

  /**
   * @param worker - a worker
   * @returns whether its books are not complete
   */
  has (worker: string): boolean {
    return this.open.has(worker)
  }

  /**
   * @param worker - a worker whose books are complete now
   * @param remnantUntil - monotonic ms until which unclaimed room stays counted, or `null` when there is none
   */
  end (worker: string, remnantUntil: number | null): void {
    this.open.delete(worker)
    if (remnantUntil !== null) this.remnants.set(worker, remnantUntil)
  }

  /** @param worker - a worker that this node no longer owns */
  drop (worker: string): void {
    this.open.delete(worker)
    this.remnants.delete(worker)
  }

  /** Asks every silent node for its permits again. */
  ask (): void {
    for (const takeover of this.open.values()) this.request(takeover)
  }

  /**
   * @param front - a node that told its permits
   * @param version - version of the assignment that it follows
   */
  answered (front: Incarnation, version: number): void {
    for (const takeover of this.open.values()) takeover.answered(front, version)
  }

  /** @param front - a node that is gone and will not answer */
  gone (front: Incarnation): void {
    for (const takeover of this.open.values()) takeover.gone(front)
  }

  /**
   * @param now - monotonic ms
   * @returns workers whose unclaimed room need not be counted any longer; each is named once
   */
  endedRemnants (now: number): string[] {
    const ended = [...this.remnants].filter(([, until]) => until <= now).map(([worker]) => worker)
    for (const worker of ended) this.remnants.delete(worker)
    return ended
  }

  private request (takeover: Takeover): void {
    const { version, worker } = takeover.options
    for (const front of takeover.silent()) this.network.send(front, { kind: 'permits-request', version, workers: [worker] })
  }
}
