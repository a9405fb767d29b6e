import type { Resources } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'
import { ClassBook, UNNAMED_CLASS } from './ClassBook.js'
import type { RunTimes } from './RunTimes.js'

/** Name under which the run times of all classes together are kept. */
export const ALL_CLASSES = ''

/** What work uses of its class's and team's room. */
export interface Share {
  class: string
  team: string
  resources: Resources
  long: boolean
}

/** All classes and teams of one owner, and what they use. */
export class ClassBooks {
  /** Slots in use by long work. */
  long = 0
  private readonly books = new Map<string, ClassBook>()
  private teams = new Map<string, ResolvedTeam>()
  private readonly teamUse = new Map<string, number>()
  private top = 0
  private readonly runTimes: RunTimes
  private readonly longRatio: number

  /**
   * @param options - `runTimes`: learned run times; `longRatio`: work of a class is long when its mean exceeds the median
   * of all runs this many times
   */
  constructor (options: { runTimes: RunTimes, longRatio: number }) {
    this.runTimes = options.runTimes
    this.longRatio = options.longRatio
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

  /**
   * @param name - a team
   * @returns its rule, if there is one
   */
  team (name: string): ResolvedTeam | undefined {
    return this.teams.get(name)
  }

  /**
   * @param name - a team
   * @returns slots in use
   */
  teamInUse (name: string): number {
    return this.teamUse.get(name) ?? 0
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

  private leastExpected (): number {
    let least = Infinity
    for (const book of this.books.values()) least = Math.min(least, book.rule.expected)
    return least
  }
}
