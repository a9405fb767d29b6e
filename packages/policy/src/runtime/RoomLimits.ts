import type { Ask } from '@rattanstep/core'
import { Peak } from '../utils/Peak.js'
import type { ClassBook } from './ClassBook.js'
import type { ClassBooks } from './ClassBooks.js'

/** Reserves are lent to classes whose mean is at most the median of all runs this many times. */
const LENT_RATIO = 3

/** Milliseconds for which a peak of short work is remembered. */
const PEAK_MEMORY = 30_000

/** Why work may not start although a worker may have room. */
export type Limit = 'most' | 'reserve' | 'team' | 'long'

/** What a `RoomLimits` is made of. */
export interface RoomLimitsOptions {
  classes: ClassBooks
  /** Part of all slots that long work may use whatever short work needs. */
  longLeast: number
  /** Part of reserves that other short work may use. */
  lend: number
  /** Milliseconds for which a peak of short work keeps preemptible work out. */
  recent: number
}

/** How much room of one owner each class may use: its most, its reserve, its team's quota, and the share of long work. */
export class RoomLimits {
  private readonly classes: ClassBooks
  private readonly longLeast: number
  private readonly lend: number
  private readonly peak = new Peak(PEAK_MEMORY)
  private readonly recentPeak: Peak

  /** @param options - the classes and the parts of the room */
  constructor (options: RoomLimitsOptions) {
    this.classes = options.classes
    this.longLeast = options.longLeast
    this.lend = options.lend
    this.recentPeak = new Peak(options.recent)
  }

  /**
   * @param book - a class
   * @param slots - slots of the owner in all
   * @returns slots kept for the class
   */
  reserve (book: ClassBook, slots: number): number {
    return Math.round(book.rule.reserve * slots)
  }

  /**
   * Tells which limit keeps work from starting.
   *
   * @param book - class of the work
   * @param ask - what is asked for
   * @param room - slots of the owner in all and free
   * @param preemptible - whether the work can be preempted
   * @returns the limit, or `null` when the work may start
   */
  limit (book: ClassBook, ask: Pick<Ask, 'team' | 'resources'>, room: { slots: number, free: number }, preemptible = false): Limit | null {
    const need = ask.resources.slots
    if (book.inUse + need > mostSlots(book.rule.most, room.slots)) return 'most'
    if (this.isOverQuota(ask.team, need, room.slots)) return 'team'
    if (this.classes.isLong(book) && this.classes.long + need > this.longMost(room.slots, preemptible)) return 'long'
    if (book.inUse + need <= this.reserve(book, room.slots)) return null
    const lentReserves = Math.floor(this.keptForOthers(book, room.slots) * this.keptPart(book))
    if (room.free - need < lentReserves + this.keptForLong(book, room.slots)) return 'reserve'
    return null
  }

  /**
   * Notes how many slots short work uses and waits for, so that room for its next peak is kept from long work.
   *
   * @param now - ms
   */
  notePeak (now: number): void {
    let wanted = 0
    for (const book of this.classes.all()) {
      if (!this.classes.isLong(book) && book.rule.kind !== 'service') wanted += book.inUse - book.long + book.queue.size
    }
    this.peak.add(wanted, now)
    this.recentPeak.add(wanted, now)
  }

  /**
   * @param slots - slots of the owner in all
   * @param preemptible - whether the work can be preempted when short work needs the room
   * @returns slots that long work may use
   */
  longMost (slots: number, preemptible = false): number {
    const peak = preemptible ? this.recentPeak.value : this.peak.value
    return Math.max(this.longFloor(slots), slots - Math.ceil(peak))
  }

  /**
   * @param slots - slots of the owner in all
   * @returns slots that long work may use whatever short work needs
   */
  longFloor (slots: number): number {
    return mostSlots(this.longLeast, slots)
  }

  /**
   * @param book - a class
   * @param slots - slots of the owner in all
   * @returns slots that the class can count on when lower work does not come before it
   */
  slotsFor (book: ClassBook, slots: number): number {
    const most = mostSlots(book.rule.most, slots)
    return Math.min(most, this.classes.isLong(book) ? this.longMost(slots) : slots - this.classes.long)
  }

  private isOverQuota (team: string, need: number, slots: number): boolean {
    const quota = this.classes.team(team)
    if (quota === undefined) return false
    return this.classes.teamInUse(team) + need > mostSlots(quota.most, slots)
  }

  private keptForOthers (book: ClassBook, slots: number): number {
    let kept = 0
    for (const other of this.classes.all()) {
      if (other === book || other.rule.reserve === 0) continue
      kept += Math.max(0, this.reserve(other, slots) - other.inUse)
    }
    return kept
  }

  private keptPart (book: ClassBook): number {
    return this.classes.meanTime(book) > LENT_RATIO * this.classes.shortTime() ? 1 : 1 - this.lend
  }

  /** While long work waits, its least part is kept from short work, which would take each slot before it. */
  private keptForLong (book: ClassBook, slots: number): number {
    const missing = this.longFloor(slots) - this.classes.long
    if (missing <= 0 || this.classes.isLong(book)) return 0
    let wanted = 0
    for (const other of this.classes.all()) {
      const count = other.queue.size + other.waitingTasks
      if (count > 0 && this.classes.isLong(other)) wanted += count
    }
    return Math.min(wanted, missing)
  }
}

/** At least one slot, so that a small owner serves every class. */
function mostSlots (part: number, slots: number): number {
  return Math.max(1, Math.floor(part * slots + 1e-9))
}
