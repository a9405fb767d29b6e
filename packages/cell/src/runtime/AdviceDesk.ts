import type { AdviceTerms } from '../types/configuration.js'

/** Calls at least this long, in ms, are kept away from a part of the nodes, so that short ones never wait behind them. */
const LONG_CALL = 250
/** Share of the nodes that long calls may use. */
const LONG_SHARE = 0.6
/** Weight of the newest answer in the learned share of allowed workers. */
const LEARNING_RATE = 0.1

/** Spreads questions to the advice service over the nodes, which each are served one call at a time. */
export class AdviceDesk {
  /** Monotonic ms at which each node should be idle again. */
  private readonly idleAt = new Map<string, number>()
  private readonly shares = new Map<string, number>()

  /**
   * @param terms - what a call costs
   * @param options - `nodes`: that can ask; `workers`: how many are named; `now`: monotonic ms
   * @returns the node that should have the answer first, and the ms that takes
   */
  choose (terms: AdviceTerms, options: { nodes: string[], workers: number, now: number }): { node: string, expected: number } {
    const cost = terms.base + terms.perWorker * options.workers
    const nodes = [...options.nodes].sort()
    const allowed = cost >= LONG_CALL ? nodes.slice(0, Math.max(1, Math.floor(nodes.length * LONG_SHARE))) : nodes.reverse()
    let best = allowed[0]!
    for (const node of allowed) if (this.backlog(node, options.now) < this.backlog(best, options.now)) best = node
    const expected = this.backlog(best, options.now) + cost
    this.idleAt.set(best, options.now + expected)
    return { node: best, expected }
  }

  /** Notes that a node has answered, earlier or later than thought. */
  answered (node: string, now: number, error: number): void {
    this.idleAt.set(node, Math.max(now, (this.idleAt.get(node) ?? now) + error))
  }

  /**
   * @param route - name of a route
   * @returns share of workers that advice allowed so far
   */
  goodShare (route: string): number | undefined {
    return this.shares.get(route)
  }

  /** Learns from an answer. */
  learn (route: string, allowed: number, named: number): void {
    if (named === 0) return
    const known = this.shares.get(route)
    const share = allowed / named
    this.shares.set(route, known === undefined ? share : known + LEARNING_RATE * (share - known))
  }

  private backlog (node: string, now: number): number {
    return Math.max(0, (this.idleAt.get(node) ?? 0) - now)
  }
}
