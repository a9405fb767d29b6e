import type { Incarnation } from '@rattanstep/core'
import { Heap } from '../utils/Heap.js'
import type { ClassBook } from './ClassBook.js'
import type { WaitingAsk } from './FlowQueue.js'

/** All asks that wait at one owner, by identity and by deadline; their order of service is kept in their class's queue. */
export class WaitingRoom {
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
  ofFront (front: Incarnation): WaitingAsk[] {
    return [...this.byKey.values()].filter(item => item.front === front)
  }

  /**
   * @param now - ms
   * @returns an ask whose patience has run out, if there is one
   */
  expired (now: number): WaitingAsk | undefined {
    const first = this.deadlines.peek()
    return first !== undefined && first.deadline <= now ? first : undefined
  }

  /**
   * @param book - class of the ask
   * @param item - the ask
   * @param now - ms
   */
  add (book: ClassBook, item: WaitingAsk, now: number): void {
    this.byKey.set(item.key, item)
    this.deadlines.push(item)
    book.queue.push(item)
    book.noteQueue(now)
  }

  /**
   * @param book - class of the ask
   * @param item - an ask that waits
   * @param now - ms
   * @param served - whether it was granted, so that its caller's turn moves on
   */
  remove (book: ClassBook, item: WaitingAsk, now: number, served: boolean): void {
    this.byKey.delete(item.key)
    this.deadlines.remove(item)
    if (served) book.queue.serve(item)
    else book.queue.remove(item)
    book.noteQueue(now)
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
