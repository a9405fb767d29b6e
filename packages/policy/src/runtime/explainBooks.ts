import type { AdmissionStatus, ClassStatus, WorkerStatus } from '../types/status.js'
import type { ClassBook } from './ClassBook.js'
import type { ClassBooks } from './ClassBooks.js'
import type { Quarantine } from './Quarantine.js'
import type { RoomLimits } from './RoomLimits.js'
import type { RunTimes } from './RunTimes.js'
import type { WorkerBook } from './WorkerBook.js'
import type { WorkerBooks } from './WorkerBooks.js'

/** The books that are explained. */
export interface Books {
  workers: WorkerBooks
  classes: ClassBooks
  limits: RoomLimits
  quarantine: Quarantine
  runTimes: RunTimes
}

/**
 * Describes the books for an operator.
 *
 * @param books - books of one owner
 * @param now - ms
 * @returns plain data
 */
export function explainBooks (books: Books, now: number): AdmissionStatus {
  const classes = [...books.classes.all()].map(book => explainClass(books, book, now))
  const workers = [...books.workers.all()].map(book => explainWorker(books, book))
  return { classes, workers }
}

function explainClass (books: Books, book: ClassBook, now: number): ClassStatus {
  const { rule, queue } = book
  const oldest = queue.oldest()
  return {
    name: rule.name,
    priority: books.classes.priority(book, now),
    waiting: queue.size,
    oldest: oldest === null ? 0 : now - oldest.queuedAt,
    inUse: book.inUse,
    reserve: books.limits.reserve(book, books.workers.slots),
    meanTime: books.classes.meanTime(book),
    p99Time: books.runTimes.quantile(rule.name, 0.99, rule.expected),
    long: books.classes.isLong(book)
  }
}

function explainWorker (books: Books, book: WorkerBook): WorkerStatus {
  const { id, resources } = book.room
  return {
    id,
    total: resources,
    used: book.used,
    unknown: book.unknown,
    permits: book.permits,
    holds: book.holds,
    state: stateOf(book),
    quarantinedSince: books.quarantine.since(id),
    slowness: books.runTimes.factor(id)
  }
}

function stateOf (book: WorkerBook): WorkerStatus['state'] {
  if (book.removed) return 'removed'
  if (book.draining) return 'draining'
  return book.quarantined ? 'quarantined' : 'usable'
}
