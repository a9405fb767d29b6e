import type { Ask, Resources } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'
import { ClassBook, UNNAMED_CLASS } from './ClassBook.js'
import type { RunTimes } from './RunTimes.js'
import { Peak } from '../utils/Peak.js'

/** Name under which the run times of all classes together are kept. */
export const ALL_CLASSES = ''

/** Reserves are lent to classes whose mean is at most the median of all runs this many times. */
const LENT_RATIO = 3

/** Milliseconds for which a peak of short work is remembered. */
const PEAK_MEMORY = 30_000

/** Why work may not start although a worker may have room. */
export type Limit = 'most' | 'reserve' | 'team' | 'long'

/** What work uses of its class's and team's room. */
export interface Share {
  class: string
  team: string
  resources: Resources
  long: boolean
}

/** All classes and teams of one owner, and the limits on their room. */
export class ClassBooks {
  /** Slots in use by long work. */
  long = 0
  private readonly books = new Map<string, ClassBook>()
  private teams = new Map<string, ResolvedTeam>()
  private readonly teamUse = new Map<string, number>()
  private top = 0
  private readonly runTimes: RunTimes
  private readonly longLeast: number
  private readonly lend: number
  private readonly longRatio: number
  private readonly peak = new Peak(PEAK_MEMORY)
  private readonly recentPeak: Peak

  /**
   * @param options - `runTimes`: learned run times; `longLeast`: part of all slots that long work may use whatever short
   * work needs; `lend`: part of reserves that other short work may use
   */
  constructor (options: { runTimes: RunTimes, longLeast: number, lend: number, recent: number, longRatio: number }) {
    this.runTimes = options.runTimes
    this.longLeast = options.longLeast
    this.lend = options.lend
    this.longRatio = options.longRatio
    this.recentPeak = new Peak(options.recent)
  }

  /**
   * Puts new rules in force. A class that is no longer named stays until its work has ended.
   *
   * @param classes - rules of all classes
   * @param teams - quotas of teams
   */
  configure (classes: ResolvedClass[], teams: ResolvedTeam[]): void {
    for (const book of this.books.values()) book.retired = true
    for (const rule of classes) {
      const book = this.open(rule)
      book.rule = rule
      book.retired = false
    }
    for (const [name, book] of this.books) {
      if (book.retired && book.queue.size === 0 && book.inUse === 0) this.books.delete(name)
    }
    this.teams = new Map(teams.map(team => [team.name, team]))
    this.top = Math.max(0, ...classes.map(rule => rule.priority))
  }

  /**
   * @param name - a class
   * @returns its book; one is opened for a class that no rule names
   */
  get (name: string): ClassBook {
    return this.books.get(name) ?? this.open({ ...UNNAMED_CLASS, name })
  }

  /** @returns all books */
  all (): Iterable<ClassBook> {
    return this.books.values()
  }

  /**
   * @param now - ms
   * @returns classes with waiting asks in the order in which they are served
   */
  inOrder (now: number): ClassBook[] {
    const waiting: Array<{ book: ClassBook, priority: number }> = []
    for (const book of this.books.values()) {
      if (book.queue.size > 0) waiting.push({ book, priority: this.priority(book, now) })
    }
    waiting.sort((a, b) => b.priority - a.priority || a.book.virtualTime - b.book.virtualTime)
    return waiting.map(({ book }) => book)
  }

  /**
   * @param book - a class
   * @param now - ms
   * @returns its priority with ageing
   */
  priority (book: ClassBook, now: number): number {
    return book.effectivePriority(now, this.top)
  }

  /**
   * @param book - a class
   * @param slots - slots of the owner in all
   * @returns slots kept for the class
   */
  reserve (book: ClassBook, slots: number): number {
    return Math.round(book.rule.reserve * slots)
  }

  /** @returns ms of running after which a run counts as long */
  longThreshold (): number {
    return this.longRatio * this.shortTime()
  }

  /**
   * @param book - a class
   * @returns mean run time in ms, learned where possible
   */
  meanTime (book: ClassBook): number {
    return this.runTimes.mean(book.rule.name, book.rule.expected)
  }

  /** @returns median run time of everything that ran, in ms */
  shortTime (): number {
    return this.runTimes.quantile(ALL_CLASSES, 0.5, this.leastExpected())
  }

  /**
   * @param book - a class
   * @returns whether its work is long beside most other work
   */
  isLong (book: ClassBook): boolean {
    return book.rule.kind !== 'service' && this.meanTime(book) > this.longThreshold()
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
    if (this.isLong(book) && this.long + need > this.longMost(room.slots, preemptible)) return 'long'
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
    for (const book of this.books.values()) {
      if (!this.isLong(book) && book.rule.kind !== 'service') wanted += book.inUse - book.long + book.queue.size
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
    return Math.min(most, this.isLong(book) ? this.longMost(slots) : slots - this.long)
  }

  /** @param share - work that starts */
  take (share: Share): void {
    this.count(share, 1)
  }

  /** @param share - work that has ended */
  give (share: Share): void {
    this.count(share, -1)
  }

  /**
   * Moves a class's place among classes of the same priority on.
   *
   * @param book - the class
   * @param slots - slots granted
   */
  charge (book: ClassBook, slots: number): void {
    let least = Infinity
    for (const other of this.books.values()) {
      if (other !== book && other.queue.size > 0) least = Math.min(least, other.virtualTime)
    }
    const start = least === Infinity ? book.virtualTime : Math.max(book.virtualTime, least - this.meanTime(book))
    book.virtualTime = start + slots * this.meanTime(book) / Math.max(Number.EPSILON, book.rule.weight)
  }

  private count (share: Share, sign: 1 | -1): void {
    const book = this.get(share.class)
    const slots = sign * share.resources.slots
    book.inUse += slots
    if (share.long) book.long += slots
    if (share.long) this.long += slots
    if (share.team === '') return
    this.teamUse.set(share.team, (this.teamUse.get(share.team) ?? 0) + slots)
  }

  private open (rule: ResolvedClass): ClassBook {
    const known = this.books.get(rule.name)
    if (known !== undefined) return known
    const book = new ClassBook(rule)
    this.books.set(rule.name, book)
    return book
  }

  private isOverQuota (team: string, need: number, slots: number): boolean {
    const quota = this.teams.get(team)
    if (quota === undefined) return false
    return (this.teamUse.get(team) ?? 0) + need > mostSlots(quota.most, slots)
  }

  private keptForOthers (book: ClassBook, slots: number): number {
    let kept = 0
    for (const other of this.books.values()) {
      if (other === book || other.rule.reserve === 0) continue
      kept += Math.max(0, this.reserve(other, slots) - other.inUse)
    }
    return kept
  }

  private keptPart (book: ClassBook): number {
    return this.meanTime(book) > LENT_RATIO * this.shortTime() ? 1 : 1 - this.lend
  }

  /** While long work waits, its least part is kept from short work, which would take each slot before it. */
  private keptForLong (book: ClassBook, slots: number): number {
    const missing = this.longFloor(slots) - this.long
    if (missing <= 0 || this.isLong(book)) return 0
    let wanted = 0
    for (const other of this.books.values()) {
      const count = other.queue.size + other.waitingTasks
      if (count > 0 && this.isLong(other)) wanted += count
    }
    return Math.min(wanted, missing)
  }

  private leastExpected (): number {
    let least = Infinity
    for (const book of this.books.values()) least = Math.min(least, book.rule.expected)
    return least
  }
}

/** At least one slot, so that a small owner serves every class. */
function mostSlots (part: number, slots: number): number {
  return Math.max(1, Math.floor(part * slots + 1e-9))
}
