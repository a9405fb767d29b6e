import type { AdviceTerms } from '../types/configuration.js'

/** Calls of at least this duration are given only to some of the nodes, so that short calls never have to wait behind long ones. */
const LONG_CALL_MS = 250
/** Share of the nodes that may make long calls. */
const LONG_CALL_NODE_SHARE = 0.6
/** Minimum amount of queued work up to which a node is given another call: covers the round trip, so that the service doesn't idle. */
const MIN_QUEUED_WORK_MS = 15
/** Weight of the newest answer in the moving average of the share of allowed workers. */
const SHARE_SMOOTHING = 0.1

/** Time for which a node is given no call after a failed one; doubled with each further failure up to the maximum. */
const MIN_AVOIDANCE_MS = 2000
const MAX_AVOIDANCE_MS = 16_000

/** Failed calls of one node since its last answer. */
interface Failures {
  count: number
  /** Monotonic ms until which the node is given no call, if there are others. */
  avoidedUntil: number
}

/** Unanswered calls of one node, in the order in which the advice service handles them. */
interface CallQueue {
  costs: number[]
  /** Monotonic ms at which the service started to handle the first call. */
  startedAt: number
}

/**
 * Distributes calls to the advice service over the nodes; the service handles one call of each node at a time. A node is given a call
 * only when it is about to become idle. All other calls wait at the decider in rank order, where a more urgent call can still overtake
 * them. A node whose calls fail would look idle most of the time, so it is avoided for a while, unless all nodes are.
 */
export class AdviceScheduler {
  private readonly queues = new Map<string, CallQueue>()
  private readonly failures = new Map<string, Failures>()
  private readonly allowedShares = new Map<string, number>()

  /**
   * Starts a round of planning.
   *
   * @param nodes - nodes that can call the advice service
   * @param now - monotonic ms
   * @param roundInterval - ms until the next round; a node may have this much work queued
   * @returns the nodes with their queued work
   */
  startRound (nodes: string[], now: number, roundInterval = 0): AdviceRound {
    for (const map of [this.queues, this.failures]) for (const node of map.keys()) if (!nodes.includes(node)) map.delete(node)
    const preferred = nodes.filter(node => this.avoidedUntil(node) <= now)
    const sorted = preferred.length > 0 ? preferred.sort() : [...nodes].sort((a, b) => this.avoidedUntil(a) - this.avoidedUntil(b))
    const longMax = Math.max(1, Math.floor(sorted.length * LONG_CALL_NODE_SHARE))
    return new AdviceRound(sorted.map((node, index) => ({ node, backlog: this.backlog(node, now), takesLongCalls: index < longMax })), Math.max(MIN_QUEUED_WORK_MS, roundInterval))
  }

  /** Records that a node was given a call with an expected duration of `cost` ms. */
  callSent (node: string, cost: number, now: number): void {
    const queue = this.queues.get(node)
    if (queue === undefined || queue.costs.length === 0) this.queues.set(node, { costs: [cost], startedAt: now })
    else queue.costs.push(cost)
  }

  /** Records that a node got an answer to a call. */
  callAnswered (node: string, now: number): void {
    // If no node had got an answer for a while, the service had failed and not the nodes.
    const hadServiceFailed = [...this.queues.keys()].every(each => this.avoidedUntil(each) > now)
    if (hadServiceFailed) this.failures.clear()
    else this.failures.delete(node)
  }

  /** Records that a node got no answer to a call. */
  callFailed (node: string, now: number): void {
    const count = (this.failures.get(node)?.count ?? 0) + 1
    this.failures.set(node, { count, avoidedUntil: now + Math.min(MIN_AVOIDANCE_MS * 2 ** (count - 1), MAX_AVOIDANCE_MS) })
  }

  /** Records that a call has ended, with or without an answer. */
  callEnded (node: string, cost: number, now: number): void {
    const queue = this.queues.get(node)
    const index = queue?.costs.indexOf(cost) ?? -1
    if (queue === undefined || index < 0) return
    queue.costs.splice(index, 1)
    queue.startedAt = now
  }

  /**
   * @param route - name of a route
   * @returns average share of the named workers that the advice service allowed, or `undefined` before the first answer for the route
   */
  allowedShare (route: string): number | undefined {
    return this.allowedShares.get(route)
  }

  /** Adds an answer to the average share of allowed workers. */
  updateAllowedShare (route: string, allowed: number, named: number): void {
    if (named === 0) return
    const previous = this.allowedShares.get(route)
    const newestShare = allowed / named
    this.allowedShares.set(route, previous === undefined ? newestShare : previous + SHARE_SMOOTHING * (newestShare - previous))
  }

  private avoidedUntil (node: string): number {
    return this.failures.get(node)?.avoidedUntil ?? -Infinity
  }

  /** Estimates the queued work of a node in ms. An overdue first call counts as many ms as it is late. */
  private backlog (node: string, now: number): number {
    const queue = this.queues.get(node)
    if (queue === undefined || queue.costs.length === 0) return 0
    const remaining = queue.costs[0]! - (now - queue.startedAt)
    return queue.costs.slice(1).reduce((sum, cost) => sum + cost, Math.abs(remaining))
  }
}

/** A node with its queued work in ms. */
interface AdviceNode {
  node: string
  backlog: number
  takesLongCalls: boolean
}

/** Assigns calls to nodes within one round of planning. */
export class AdviceRound {
  constructor (private readonly nodes: AdviceNode[], private readonly maxBacklog: number) {}

  /** @returns whether some node can take a call that names one worker, which is the shortest call */
  canAssign (terms: AdviceTerms): boolean {
    return this.findNode(costOf(terms, 1)) !== undefined
  }

  /**
   * Assigns a call to the node that will be idle first.
   *
   * @param terms - cost of a call
   * @param workers - number of workers named in the call
   * @returns the node and the duration of the call in ms, or `undefined` if all nodes are busy
   */
  assign (terms: AdviceTerms, workers: number): { node: string, cost: number } | undefined {
    const cost = costOf(terms, workers)
    const found = this.findNode(cost)
    if (found === undefined) return undefined
    found.backlog += cost
    return { node: found.node, cost }
  }

  /** Whether most nodes have no queued work. */
  get isMostlyIdle (): boolean {
    return 2 * this.nodes.filter(({ backlog }) => backlog === 0).length > this.nodes.length
  }

  /** @returns number of nodes that can take a call that names `workers` workers */
  countAvailable (terms: AdviceTerms, workers: number): number {
    const isLong = costOf(terms, workers) >= LONG_CALL_MS
    return this.nodes.filter(candidate => this.isAvailable(candidate, isLong)).length
  }

  private isAvailable ({ backlog, takesLongCalls }: AdviceNode, isLong: boolean): boolean {
    return backlog <= this.maxBacklog && (takesLongCalls || !isLong)
  }

  private findNode (cost: number): AdviceNode | undefined {
    const isLong = cost >= LONG_CALL_MS
    let best: AdviceNode | undefined
    for (const candidate of this.nodes) {
      if (!this.isAvailable(candidate, isLong)) continue
      // Between equally loaded nodes, short calls prefer one that doesn't take long calls.
      if (best === undefined || candidate.backlog < best.backlog || (!isLong && candidate.backlog === best.backlog && best.takesLongCalls && !candidate.takesLongCalls)) best = candidate
    }
    return best
  }
}

function costOf (terms: AdviceTerms, workers: number): number {
  return terms.base + terms.perWorker * workers
}
