import { addResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { WorkerRoom } from '../types/decision.js'
import { FreeIndex } from './FreeIndex.js'
import type { Amounts } from './FreeIndex.js'
import { WorkerBook } from './WorkerBook.js'

/** Workers weighed for one placement. */
const CANDIDATES = 8

/** Makes a slow worker the last choice among those weighed. */
const SLOW_COST = 1e6

/** A worker found for some work. */
export interface Choice {
  worker: WorkerBook
  candidates: number
}

/** The books of all workers of one owner, with an index of their free room. */
export class WorkerBooks {
  /** Slots of the workers that take new work. */
  slots = 0
  /** Slots that are free at workers that take new work. */
  freeSlots = 0
  private readonly books = new Map<string, WorkerBook>()
  private readonly positions: Array<WorkerBook | undefined> = []
  private readonly index = new FreeIndex()
  /** What workers hold when empty; positions are those of `index`. */
  private readonly totals = new FreeIndex()
  private readonly counted = new Map<WorkerBook, { slots: number, free: number }>()
  private readonly longPart: number

  /** @param options - `longPart`: part of a worker's slots that long work may use */
  constructor (options: { longPart: number }) {
    this.longPart = options.longPart
  }

  /** @returns number of workers known, those leaving included */
  get size (): number {
    return this.books.size
  }

  /** @returns all books */
  all (): Iterable<WorkerBook> {
    return this.books.values()
  }

  /**
   * @param id - a worker
   * @returns its book, if there is one
   */
  get (id: string): WorkerBook | undefined {
    return this.books.get(id)
  }

  /**
   * Adds a worker, or takes back one that was removed with work still in use.
   *
   * @param room - the worker
   * @param now - ms
   * @param unknown - room counted as used until it is known
   */
  add (room: WorkerRoom, now: number, unknown: Resources): void {
    const known = this.books.get(room.id)
    if (known !== undefined) {
      known.room = room
      known.removed = false
      known.draining = false
      known.unknown = { ...unknown }
      known.since = now
      this.refresh(known)
      return
    }
    this.totals.add()
    const book = new WorkerBook({ room, position: this.index.add(), unknown: { ...unknown }, now })
    this.books.set(room.id, book)
    this.positions[book.position] = book
    this.refresh(book)
  }

  /**
   * Counts work as in use.
   *
   * @param book - where
   * @param resources - how much
   * @param counts - connections and slots of long work
   */
  take (book: WorkerBook, resources: Resources, counts: { permits: number, long: number }): void {
    book.used = addResources(book.used, resources)
    book.permits += counts.permits
    book.long += counts.long
    this.refresh(book)
  }

  /**
   * Counts work as ended.
   *
   * @param book - where
   * @param resources - how much
   * @param counts - connections and slots of long work
   */
  give (book: WorkerBook, resources: Resources, counts: { permits: number, long: number }): void {
    book.used = subtractResources(book.used, resources)
    book.permits -= counts.permits
    book.long -= counts.long
    if (book.unused) book.used = { ...NO_RESOURCES }
    this.refresh(book)
  }

  /** @param book - a book whose fields were changed */
  refresh (book: WorkerBook): void {
    this.uncount(book)
    if (book.removed && book.unused) {
      this.books.delete(book.room.id)
      this.positions[book.position] = undefined
      this.index.remove(book.position)
      this.totals.remove(book.position)
      return
    }
    if (book.removed || book.draining) this.totals.block(book.position)
    else this.totals.set(book.position, totalOf(book))
    if (!book.usable) {
      this.index.block(book.position)
      return
    }
    const amounts = book.amounts(this.longLimit(book))
    this.index.set(book.position, amounts)
    const count = { slots: book.room.resources.slots, free: Math.max(0, amounts[0]) }
    this.counted.set(book, count)
    this.slots += count.slots
    this.freeSlots += count.free
  }

  /**
   * Finds a worker with room: of the first few that fit, the one that is left with the least,
   * slow ones last.
   *
   * @param resources - what is needed
   * @param options - `avoid`: workers not to use; `long`: slots that count as long work; `accept`: a further condition
   * @returns the worker, or `null` when none fits now
   */
  find (resources: Resources, options: { avoid: string[], long: number, accept?: (worker: WorkerBook) => boolean }): Choice | null {
    const { slots, cores, memory, accelerators } = resources
    const accept = (position: number): boolean => {
      const book = this.positions[position]!
      return !options.avoid.includes(book.room.id) && options.accept?.(book) !== false
    }
    const long = options.long > 0 ? options.long : -Infinity
    const found = this.index.find([slots, cores, memory, accelerators, 1, long], CANDIDATES, accept)
    if (found.length === 0) return null
    const books = found.map(position => this.positions[position]!)
    const cost = options.long > 0 ? longCost : leftover
    const worker = books.reduce((best, book) => cost(book) < cost(best) ? book : best)
    return { worker, candidates: books.length }
  }

  /**
   * @param resources - what is needed
   * @param avoid - workers not to use
   * @returns whether some worker could hold it when empty
   */
  couldHold (resources: Resources, avoid: string[]): boolean {
    const { slots, cores, memory, accelerators } = resources
    const accept = (position: number): boolean => !avoid.includes(this.positions[position]!.room.id)
    return this.totals.find([slots, cores, memory, accelerators, 1, 0], 1, accept).length > 0
  }

  private longLimit (book: WorkerBook): number {
    return Math.max(1, Math.floor(book.room.resources.slots * this.longPart))
  }

  private uncount (book: WorkerBook): void {
    const count = this.counted.get(book)
    if (count === undefined) return
    this.counted.delete(book)
    this.slots -= count.slots
    this.freeSlots -= count.free
  }
}

function totalOf (book: WorkerBook): Amounts {
  const { slots, cores, memory, accelerators } = book.room.resources
  return [slots, cores, memory, accelerators, book.room.connections, 0]
}

function leftover (book: WorkerBook): number {
  return book.room.resources.slots - book.used.slots + slowCost(book)
}

function longCost (book: WorkerBook): number {
  return book.long + slowCost(book)
}

function slowCost (book: WorkerBook): number {
  return book.slow ? SLOW_COST : 0
}
