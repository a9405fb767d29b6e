import type { Incarnation } from '@rattanstep/core'
import { Heap } from '../utils/Heap.js'
import type { ClassState } from './ClassState.js'
import type { WaitingAsk } from './FlowQueue.js'

/** All asks that wait at one owner, by identity and by deadline; their order of service is kept in their class's queue. */
export class WaitingAskRegistry {
  private readonly byKey = new Map<string, WaitingAsk>()
  private readonly deadlines = new Heap<WaitingAsk>((a, b) => a.deadline - b.deadline)

  /** @returns number of asks that wait */
  get size (): number {
    return this.byKey.size
  }

  /**
   * @param key - identifies an ask over all fronts
   * @returns whether it waits
   */
  has (key: string): boolean {
    return this.byKey.has(key)
  }

  /**
   * @param key - identifies an ask over all fronts
   * @returns the ask, if it waits
   */
  get (key: string): WaitingAsk | undefined {
    return this.byKey.get(key)
  }

  /**
   * @param front - a front
   * @returns its asks that wait
   */
  getByFront (front: Incarnation): WaitingAsk[] {
    return [...this.byKey.values()].filter(item => item.front === front)
  }

  /**
   * @param now - ms
   * @returns an ask whose patience has run out, if there is one
   */
  nextExpired (now: number): WaitingAsk | undefined {
    const first = this.deadlines.peek()
    return first !== undefined && first.deadline <= now ? first : undefined
  }

  /**
   * @param classState - class of the ask
   * @param item - the ask
   * @param now - ms
   */
  add (classState: ClassState, item: WaitingAsk, now: number): void {
    this.byKey.set(item.key, item)
    this.deadlines.push(item)
    classState.queue.push(item)
    classState.updateWaitingSince(now)
  }

  /**
   * @param classState - class of the ask
   * @param item - an ask that waits
   * @param now - ms
   * @param served - whether it was granted, so that its caller's turn moves on
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
 * @param front - who asked
 * @param ask - identifier of the ask, unique at its front
 * @returns identity over all fronts
 */
export function askKey (front: Incarnation, ask: string): string {
  return `${front} ${ask}`
}
