import type { AdviceTerms } from '../types/configuration.js'

/** Calls at least this long, in ms, are kept away from a part of the nodes, so that short ones never wait behind them. */
const LONG_CALL = 250
/** Share of the nodes that long calls may use. */
const LONG_SHARE = 0.6
/** ms of work that may lie at a node when it is given a call, at least: the way there and back, so that the service need not wait. */
const AHEAD = 15
/** Weight of the newest answer in the learned share of allowed workers. */
const LEARNING_RATE = 0.1

/** Calls of one node that have no answer yet, in the order in which the service takes them. */
interface Queue {
  costs: number[]
  /** Monotonic ms at which the service began with the first of them. */
  since: number
}

/**
 * Spreads questions to the advice service over the nodes, which are each served one call at a time. A question is given out only
 * when a node is about to be idle: those that must wait do so at the decider, in rank order, where a more urgent one can still pass.
 */
export class AdviceDesk {
  private readonly queues = new Map<string, Queue>()
  private readonly shares = new Map<string, number>()

  /**
   * @param nodes - that can ask
   * @param now - monotonic ms
   * @param gap - ms until the next questions can be given out; so much work may lie at a node
   * @returns the nodes that may be given questions now
   */
  open (nodes: string[], now: number, gap = 0): Askers {
    for (const node of this.queues.keys()) if (!nodes.includes(node)) this.queues.delete(node)
    const sorted = [...nodes].sort()
    const longMax = Math.max(1, Math.floor(sorted.length * LONG_SHARE))
    return new Askers(sorted.map((node, index) => ({ node, backlog: this.backlog(node, now), long: index < longMax })), Math.max(AHEAD, gap))
  }

  /** Notes that a node was given a call that takes this long, in ms. */
  sent (node: string, cost: number, now: number): void {
    const queue = this.queues.get(node)
    if (queue === undefined || queue.costs.length === 0) this.queues.set(node, { costs: [cost], since: now })
    else queue.costs.push(cost)
  }

  /** Notes that a call has ended, with or without an answer. */
  ended (node: string, cost: number, now: number): void {
    const queue = this.queues.get(node)
    const index = queue?.costs.indexOf(cost) ?? -1
    if (queue === undefined || index < 0) return
    queue.costs.splice(index, 1)
    queue.since = now
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

  /** What lies ahead at a node, in ms. A first call that is overdue counts for as long again as it is late. */
  private backlog (node: string, now: number): number {
    const queue = this.queues.get(node)
    if (queue === undefined || queue.costs.length === 0) return 0
    const left = queue.costs[0]! - (now - queue.since)
    return queue.costs.slice(1).reduce((sum, cost) => sum + cost, Math.abs(left))
  }
}

/** Nodes that may be given questions in one round of planning. */
export class Askers {
  constructor (private readonly nodes: Array<{ node: string, backlog: number, long: boolean }>, private readonly ahead: number) {}

  /** @returns whether a call on these terms, however short, could be given out */
  mayAsk (terms: AdviceTerms): boolean {
    return this.find(costOf(terms, 1)) !== undefined
  }

  /**
   * Takes the node that is idle first.
   *
   * @param terms - what a call costs
   * @param workers - how many are named
   * @returns the node, and the ms of the call there; `undefined` when all are busy
   */
  take (terms: AdviceTerms, workers: number): { node: string, cost: number } | undefined {
    const cost = costOf(terms, workers)
    const found = this.find(cost)
    if (found === undefined) return undefined
    found.backlog += cost
    return { node: found.node, cost }
  }

  private find (cost: number): { node: string, backlog: number } | undefined {
    const isLong = cost >= LONG_CALL
    let best: { node: string, backlog: number, long: boolean } | undefined
    for (const each of this.nodes) {
      if (each.backlog > this.ahead || (isLong && !each.long)) continue
      // Short calls leave the nodes of the long ones free where they can.
      if (best === undefined || each.backlog < best.backlog || (!isLong && each.backlog === best.backlog && best.long && !each.long)) best = each
    }
    return best
  }
}

function costOf (terms: AdviceTerms, workers: number): number {
  return terms.base + terms.perWorker * workers
}
