import type { Ask, Load } from '@rattanstep/core'
import type { ClassBook } from './ClassBook.js'
import type { ClassBooks } from './ClassBooks.js'
import type { RoomLimits } from './RoomLimits.js'
import type { WorkerBooks } from './WorkerBooks.js'

/** Recent grants from which a rate is trusted. */
const ENOUGH_GRANTS = 5

/** A measured rate of grants counts once asks have waited this many ms without a break. */
const MEASURED_AFTER = 5000

/** Projects how long work will wait. */
export class Projection {
  private readonly workers: WorkerBooks
  private readonly classes: ClassBooks
  private readonly limits: RoomLimits

  /** @param options - the books */
  constructor (options: { workers: WorkerBooks, classes: ClassBooks, limits: RoomLimits }) {
    this.workers = options.workers
    this.classes = options.classes
    this.limits = options.limits
  }

  /**
   * @param book - class of the ask
   * @param ask - an ask that would be queued now
   * @param now - ms
   * @returns projected wait in ms
   */
  wait (book: ClassBook, ask: Ask, now: number): number {
    return this.waitBehind(book, book.queue.ahead(ask), now)
  }

  /**
   * @param now - ms
   * @returns what other nodes are told
   */
  load (now: number): Load {
    const levels = new Map<number, { priority: number, count: number, wait: number }>()
    for (const book of this.classes.all()) {
      if (book.queue.size === 0) continue
      const priority = book.rule.priority
      const level = levels.get(priority) ?? { priority, count: 0, wait: 0 }
      level.count += book.queue.size
      level.wait = Math.max(level.wait, Math.round(this.waitBehind(book, book.queue.size, now)))
      levels.set(priority, level)
    }
    const waiting = [...levels.values()].sort((a, b) => b.priority - a.priority)
    return { slots: this.workers.slots, free: this.workers.freeSlots, waiting, service: this.classes.shortTime() }
  }

  private waitBehind (book: ClassBook, ahead: number, now: number): number {
    const measured = this.measuredWait(book, ahead, now)
    return measured ?? this.fluidWait(book, ahead)
  }

  private measuredWait (book: ClassBook, ahead: number, now: number): number | null {
    if (book.waitingSince === null || now - book.waitingSince < MEASURED_AFTER) return null
    if (book.grants.recent(now) < ENOUGH_GRANTS) return null
    return (ahead + 1) / book.grants.perMillisecond(now)
  }

  private fluidWait (book: ClassBook, ahead: number): number {
    let work = (ahead + 1) * this.classes.meanTime(book)
    for (const other of this.classes.all()) {
      if (other === book || other.rule.priority < book.rule.priority) continue
      work += other.queue.size * this.classes.meanTime(other)
    }
    return work / Math.max(1, this.limits.slotsFor(book, this.workers.slots))
  }
}
