import type { ResolvedClass } from '@rattanstep/rules'
import type { ClassBook } from './ClassBook.js'
import type { ClassBooks } from './ClassBooks.js'
import type { RoomLimits } from './RoomLimits.js'
import type { WorkerBooks } from './WorkerBooks.js'

/** Room that waiting work lacks and that tasks of lower priority may be preempted for. */
export interface Pressure {
  /** Priority of the waiting work. */
  priority: number
  /** What its rules let lower work suffer. */
  preempts: ResolvedClass['preempts']
  /** Slots to free now. */
  slots: number
}

/** Waiting asks for which one slot of short work frees itself soon enough. */
const ABSORBED = 0.25

/**
 * Finds how many slots of long work should be freed: what waits, less what the slots of short work take up within part
 * of a short service time, and never so many that long work is left with less than its least part.
 *
 * @param classes - books of all classes
 * @param limits - limits of their room
 * @param workers - books of all workers
 * @returns the pressure, or `null` when nothing is to be preempted
 */
export function findPressure (classes: ClassBooks, limits: RoomLimits, workers: WorkerBooks): Pressure | null {
  let waiting = 0
  let highest: ClassBook | null = null
  for (const book of classes.all()) {
    if (book.rule.preempts === 'nothing' || book.queue.size === 0) continue
    waiting += book.queue.size
    if (highest === null || book.rule.priority > highest.rule.priority) highest = book
  }
  if (highest === null) return null
  const absorbed = Math.floor((workers.slots - classes.long) * ABSORBED)
  const spare = classes.long - limits.longFloor(workers.slots)
  const slots = Math.min(waiting - absorbed, spare)
  if (slots <= 0) return null
  return { priority: highest.rule.priority, preempts: highest.rule.preempts, slots }
}
