import type { Incarnation } from '@rattanstep/core'
import { Heap } from '../utils/Heap.js'
import type { ClassState } from './ClassState.js'
import type { WaitingAsk } from './FlowQueue.js'

/** The waiting asks of one owner, indexed by key and deadline. The queue of each class keeps the order of service. */
export class WaitingAskRegistry {
  private readonly byKey = new Map<string, WaitingAsk>()
  private readonly deadlines = new Heap<WaitingAsk>((a, b) => a.deadline - b.deadline)

  /** @returns number of waiting asks */
  get size (): number {
    return this.byKey.size
  }

  /**
   * @param key - identifier of an ask that is unique across fronts
   * @returns whether the ask waits
   */
  has (key: string): boolean {
    return this.byKey.has(key)
  }

  /**
   * @param key - identifier of an ask that is unique across fronts
   * @returns the ask, if it waits
   */
  get (key: string): WaitingAsk | undefined {
    return this.byKey.get(key)
  }

  /**
   * @param front - a front
   * @returns its waiting asks
   */
  getByFront (front: Incarnation): WaitingAsk[] {
    return [...this.byKey.values()].filter(item => item.front === front)
  }

  /**
   * @param now - monotonic time in ms
   * @returns the ask whose patience ran out first, if there is one
   */
  nextExpired (now: number): WaitingAsk | undefined {
    const first = this.deadlines.peek()
    return first !== undefined && first.deadline <= now ? first : undefined
  }

  /**
   * Queues an ask.
   *
   * @param classState - class of the ask
   * @param item - the ask
   * @param now - monotonic time in ms
   */
  add (classState: ClassState, item: WaitingAsk, now: number): void {
    this.byKey.set(item.key, item)
    this.deadlines.push(item)
    classState.queue.push(item)
    classState.updateWaitingSince(now)
  }

  /**
   * Removes an ask from its queue.
   *
   * @param classState - class of the ask
   * @param item - a waiting ask
   * @param now - monotonic time in ms
   * @param served - whether it was granted, which advances the virtual time of its flow
   */
  remove (classState: ClassState, item: WaitingAsk, now: number, served: boolean): void {
    this.byKey.delete(item.key)
    this.deadlines.remove(item)
    if (served) classState.queue.serve(item)
    else classState.queue.remove(item)
    classState.updateWaitingSince(now)
  }
}

/**
 * Builds the key of an ask.
 *
 * @param front - the front that sent the ask
 * @param ask - identifier of the ask, unique within its front
 * @returns identifier that is unique across fronts
 */
export function askKey (front: Incarnation, ask: string): string {
  return `${front} ${ask}`
}
