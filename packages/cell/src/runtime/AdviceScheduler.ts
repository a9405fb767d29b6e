import type { AdviceTerms } from '../types/configuration.js'

/** Calls at least this long, in ms, are kept away from a part of the nodes, so that short ones never wait behind them. */
const LONG_CALL_MS = 250
/** Share of the nodes that long calls may use. */
const LONG_CALL_NODE_SHARE = 0.6
/** ms of work that may lie at a node when it is given a call, at least: the way there and back, so that the service need not wait. */
const MIN_QUEUED_WORK_MS = 15
/** Weight of the newest answer in the learned share of allowed workers. */
const SHARE_SMOOTHING = 0.1

/** Calls of one node that have no answer yet, in the order in which the service takes them. */
interface CallQueue {
  costs: number[]
  /** Monotonic ms at which the service began with the first of them. */
  startedAt: number
}

/**
 * Spreads questions to the advice service over the nodes, which are each served one call at a time. A question is given out only
 * when a node is about to be idle: those that must wait do so at the decider, in rank order, where a more urgent one can still pass.
 */
export class AdviceScheduler {
  private readonly queues = new Map<string, CallQueue>()
  private readonly allowedShares = new Map<string, number>()

  /**
   * @param nodes - that can ask
   * @param now - monotonic ms
   * @param roundInterval - ms until the next questions can be given out; so much work may lie at a node
   * @returns the nodes that may be given questions now
   */
  startRound (nodes: string[], now: number, roundInterval = 0): AdviceRound {
    for (const node of this.queues.keys()) if (!nodes.includes(node)) this.queues.delete(node)
    const sorted = [...nodes].sort()
    const longMax = Math.max(1, Math.floor(sorted.length * LONG_CALL_NODE_SHARE))
    return new AdviceRound(sorted.map((node, index) => ({ node, backlog: this.backlog(node, now), long: index < longMax })), Math.max(MIN_QUEUED_WORK_MS, roundInterval))
  }

  /** Notes that a node was given a call that takes this long, in ms. */
  callSent (node: string, cost: number, now: number): void {
    const queue = this.queues.get(node)
    if (queue === undefined || queue.costs.length === 0) this.queues.set(node, { costs: [cost], startedAt: now })
    else queue.costs.push(cost)
  }

  /** Notes that a call has ended, with or without an answer. */
  callEnded (node: string, cost: number, now: number): void {
    const queue = this.queues.get(node)
    const index = queue?.costs.indexOf(cost) ?? -1
    if (queue === undefined || index < 0) return
    queue.costs.splice(index, 1)
    queue.startedAt = now
  }

  /**
   * @param route - name of a route
   * @returns share of workers that advice allowed so far
   */
  allowedShare (route: string): number | undefined {
    return this.allowedShares.get(route)
  }

  /** Learns from an answer. */
  updateAllowedShare (route: string, allowed: number, named: number): void {
    if (named === 0) return
    const previous = this.allowedShares.get(route)
    const share = allowed / named
    this.allowedShares.set(route, previous === undefined ? share : previous + SHARE_SMOOTHING * (share - previous))
  }

  /** What lies ahead at a node, in ms. A first call that is overdue counts for as long again as it is late. */
  private backlog (node: string, now: number): number {
    const queue = this.queues.get(node)
    if (queue === undefined || queue.costs.length === 0) return 0
    const left = queue.costs[0]! - (now - queue.startedAt)
    return queue.costs.slice(1).reduce((sum, cost) => sum + cost, Math.abs(left))
  }
}

/** Nodes that may be given questions in one round of planning. */
export class AdviceRound {
  constructor (private readonly nodes: Array<{ node: string, backlog: number, long: boolean }>, private readonly maxBacklog: number) {}

  /** @returns whether a call on these terms, however short, could be given out */
  canAssign (terms: AdviceTerms): boolean {
    return this.findNode(costOf(terms, 1)) !== undefined
  }

  /**
   * Takes the node that is idle first.
   *
   * @param terms - what a call costs
   * @param workers - how many are named
   * @returns the node, and the ms of the call there; `undefined` when all are busy
   */
  assign (terms: AdviceTerms, workers: number): { node: string, cost: number } | undefined {
    const cost = costOf(terms, workers)
    const found = this.findNode(cost)
    if (found === undefined) return undefined
    found.backlog += cost
    return { node: found.node, cost }
  }

  private findNode (cost: number): { node: string, backlog: number } | undefined {
    const isLong = cost >= LONG_CALL_MS
    let best: { node: string, backlog: number, long: boolean } | undefined
    for (const each of this.nodes) {
      if (each.backlog > this.maxBacklog || (isLong && !each.long)) continue
      // Short calls leave the nodes of the long ones free where they can.
      if (best === undefined || each.backlog < best.backlog || (!isLong && each.backlog === best.backlog && best.long && !each.long)) best = each
    }
    return best
  }
}

function costOf (terms: AdviceTerms, workers: number): number {
  return terms.base + terms.perWorker * workers
}
