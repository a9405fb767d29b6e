import type { Ask, Incarnation } from '@rattanstep/core'
import { Heap } from '../utils/Heap.js'
import type { HeapItem } from '../utils/Heap.js'

/** An ask in a queue. */
export interface WaitingAsk extends HeapItem {
  ask: Ask
  /** Front that sent the ask. */
  front: Incarnation
  /** Identifier of the ask that is unique across fronts. */
  key: string
  /** Monotonic time in ms at which it was queued. */
  queuedAt: number
  /** Monotonic time in ms at which its patience runs out. */
  deadline: number
  /** Whether it was removed from the queue. */
  removed: boolean
}

/** The waiting asks of one caller within one team. */
interface Flow extends HeapItem {
  name: string
  items: WaitingAsk[]
  /** Items before this index have been removed. */
  firstLive: number
  /** Number of items that have not been removed. */
  count: number
  /** Start tag of the flow's next item, in virtual time. */
  tag: number
  /** Orders flows with the same tag by arrival. */
  order: number
}

/** Number of removed items at the head of a list above which the list is compacted. */
const COMPACTION_THRESHOLD = 64

/**
 * The waiting asks of one class, served by start-time fair queueing over flows (callers within teams), so that a burst
 * of one caller does not delay the others.
 */
export class FlowQueue {
  /** Number of waiting asks. */
  size = 0
  private readonly flows = new Map<string, Flow>()
  private readonly activeFlows = new Heap<Flow>(compareFlows)
  private arrivals: WaitingAsk[] = []
  private firstArrival = 0
  private virtualTime = 0
  private order = 0

  /** @param item - the ask to queue */
  push (item: WaitingAsk): void {
    const name = flowName(item.ask)
    const flow = this.flows.get(name) ?? this.createFlow(name)
    flow.items.push(item)
    flow.count++
    this.size++
    this.arrivals.push(item)
    if (flow.count === 1) this.activateFlow(flow)
  }

  /** @returns the ask that has waited longest, or `null` when the queue is empty */
  oldest (): WaitingAsk | null {
    while (this.firstArrival < this.arrivals.length) {
      const item = this.arrivals[this.firstArrival]!
      if (!item.removed) return item
      this.firstArrival++
    }
    this.arrivals = []
    this.firstArrival = 0
    return null
  }

  /**
   * Lists the first ask of each of the flows that are served next.
   *
   * @param limit - maximum number of asks
   * @returns asks in the order in which they should be served
   */
  heads (limit: number): WaitingAsk[] {
    return this.activeFlows.firstItems(limit).map(headOf)
  }

  /**
   * Removes an ask that was granted, and advances the virtual time of its flow.
   *
   * @param item - an ask of this queue
   */
  serve (item: WaitingAsk): void {
    const flow = this.flows.get(flowName(item.ask))!
    this.virtualTime = Math.max(this.virtualTime, flow.tag)
    flow.tag += 1
    this.removeFromFlow(flow, item)
    if (flow.count > 0) this.activeFlows.update(flow)
  }

  /**
   * Removes an ask that will not be granted.
   *
   * @param item - an ask of this queue
   */
  remove (item: WaitingAsk): void {
    this.removeFromFlow(this.flows.get(flowName(item.ask))!, item)
  }

  /**
   * Charges a flow for an ask that was granted without waiting. A flow without waiting asks is not charged.
   *
   * @param ask - the ask that was granted
   */
  chargeFlow (ask: Ask): void {
    if (this.size === 0) return
    const flow = this.flows.get(flowName(ask))
    if (flow !== undefined) flow.tag += 1
  }

  /**
   * Estimates how many asks would be served before a new one: those of its own flow and, since flows are served in turn, one
   * more than that of each other flow.
   *
   * @param ask - an ask that would be queued
   * @returns estimated number of asks that would be served before it, at most all that wait
   */
  countAhead (ask: Ask): number {
    const own = this.flows.get(flowName(ask))?.count ?? 0
    const others = this.activeFlows.size - (own > 0 ? 1 : 0)
    return Math.min(this.size, own + others * (own + 1))
  }

  /**
   * @param ask - any ask of a flow
   * @returns number of waiting asks of the same flow
   */
  countOfFlow (ask: Ask): number {
    return this.flows.get(flowName(ask))?.count ?? 0
  }

  /** @returns the waiting asks in order of arrival */
  * [Symbol.iterator] (): Iterator<WaitingAsk> {
    for (let index = this.firstArrival; index < this.arrivals.length; index++) {
      const item = this.arrivals[index]!
      if (!item.removed) yield item
    }
  }

  private createFlow (name: string): Flow {
    const flow: Flow = { name, items: [], firstLive: 0, count: 0, tag: this.virtualTime, order: 0, heapIndex: -1 }
    this.flows.set(name, flow)
    return flow
  }

  private activateFlow (flow: Flow): void {
    flow.tag = Math.max(flow.tag, this.virtualTime)
    flow.order = this.order++
    this.activeFlows.push(flow)
  }

  private removeFromFlow (flow: Flow, item: WaitingAsk): void {
    item.removed = true
    flow.count--
    this.size--
    while (flow.firstLive < flow.items.length && flow.items[flow.firstLive]!.removed) flow.firstLive++
    if (flow.firstLive > COMPACTION_THRESHOLD) {
      flow.items = flow.items.slice(flow.firstLive)
      flow.firstLive = 0
    }
    if (this.firstArrival > COMPACTION_THRESHOLD && 2 * this.firstArrival > this.arrivals.length) {
      this.arrivals = this.arrivals.slice(this.firstArrival)
      this.firstArrival = 0
    }
    if (flow.count === 0) this.deleteFlow(flow)
    if (this.size === 0) this.arrivals = []
    if (this.size === 0) this.firstArrival = 0
  }

  private deleteFlow (flow: Flow): void {
    this.activeFlows.remove(flow)
    this.flows.delete(flow.name)
  }
}

function flowName (ask: Ask): string {
  return `${ask.team} ${ask.caller}`
}

function headOf (flow: Flow): WaitingAsk {
  return flow.items[flow.firstLive]!
}

function compareFlows (a: Flow, b: Flow): number {
  return a.tag - b.tag || a.order - b.order
}
