import type { Resources } from '@rattanstep/core'
import type { ResolvedClass, ResolvedTeam } from '@rattanstep/rules'
import { ClassState, UNLISTED_CLASS_RULE } from './ClassState.js'
import type { RunTimes } from './RunTimes.js'

/** Class name under which the run times of all classes together are recorded. */
export const ALL_CLASSES = ''

/** Usage of one permit or hold that counts towards its class and team. */
export interface Usage {
  class: string
  team: string
  resources: Resources
  long: boolean
}

/** The classes and teams of one owner, and what they use. */
export class ClassRegistry {
  /** Slots in use by long work. */
  longSlots = 0
  private readonly states = new Map<string, ClassState>()
  private teams = new Map<string, ResolvedTeam>()
  private readonly teamSlots = new Map<string, number>()
  private highestPriority = 0
  private readonly runTimes: RunTimes
  private readonly longRatio: number

  /**
   * @param options - `runTimes`: learned run times; `longRatio`: work of a class is long when its mean run time exceeds this
   * many times the median of all runs
   */
  constructor (options: { runTimes: RunTimes, longRatio: number }) {
    this.runTimes = options.runTimes
    this.longRatio = options.longRatio
  }

  /**
   * Applies new rules. A class that the rules no longer name is deleted once its work has ended.
   *
   * @param classes - rules of all classes
   * @param teams - quotas of teams
   */
  configure (classes: ResolvedClass[], teams: ResolvedTeam[]): void {
    for (const classState of this.states.values()) classState.obsolete = true
    for (const rule of classes) {
      const classState = this.getOrCreate(rule)
      classState.rule = rule
      classState.obsolete = false
    }
    for (const [name, classState] of this.states) {
      if (classState.obsolete && classState.queue.size === 0 && classState.inUse === 0) this.states.delete(name)
    }
    this.teams = new Map(teams.map(team => [team.name, team]))
    this.highestPriority = Math.max(0, ...classes.map(rule => rule.priority))
  }

  /**
   * @param name - name of a class
   * @returns its state, which is created for a class that the rules do not name
   */
  get (name: string): ClassState {
    return this.states.get(name) ?? this.getOrCreate({ ...UNLISTED_CLASS_RULE, name })
  }

  /** @returns states of all classes */
  all (): Iterable<ClassState> {
    return this.states.values()
  }

  /**
   * @param now - monotonic time in ms
   * @returns classes with waiting asks, in the order in which they are served
   */
  inServiceOrder (now: number): ClassState[] {
    const waiting: Array<{ classState: ClassState, priority: number }> = []
    for (const classState of this.states.values()) {
      if (classState.queue.size > 0) waiting.push({ classState, priority: this.priority(classState, now) })
    }
    waiting.sort((a, b) => b.priority - a.priority || a.classState.virtualTime - b.classState.virtualTime)
    return waiting.map(({ classState }) => classState)
  }

  /**
   * @param classState - a class
   * @param now - monotonic time in ms
   * @returns its priority with ageing
   */
  priority (classState: ClassState, now: number): number {
    return classState.agedPriority(now, this.highestPriority)
  }

  /** @returns run time in ms above which a run counts as long */
  longRunThreshold (): number {
    return this.longRatio * this.medianRunTime()
  }

  /**
   * @param classState - a class
   * @returns mean run time in ms: learned once enough runs have ended, else declared by the rule
   */
  meanRunTime (classState: ClassState): number {
    return this.runTimes.mean(classState.rule.name, classState.rule.expected)
  }

  /** @returns median run time of all runs, in ms */
  medianRunTime (): number {
    return this.runTimes.quantile(ALL_CLASSES, 0.5, this.minExpected())
  }

  /**
   * @param classState - a class
   * @returns whether its work is long compared with most other work
   */
  isLong (classState: ClassState): boolean {
    return classState.rule.kind !== 'service' && this.meanRunTime(classState) > this.longRunThreshold()
  }

  /** @param usage - usage of work that starts */
  addUsage (usage: Usage): void {
    this.changeUsage(usage, 1)
  }

  /** @param usage - usage of work that has ended */
  removeUsage (usage: Usage): void {
    this.changeUsage(usage, -1)
  }

  /**
   * Advances a class's virtual time, which orders classes of the same priority, after a grant. A class that was idle starts
   * at most one mean run time behind the classes that wait, so that it cannot save up credit.
   *
   * @param classState - the class
   * @param slots - number of slots granted
   */
  advanceVirtualTime (classState: ClassState, slots: number): void {
    let least = Infinity
    for (const other of this.states.values()) {
      if (other !== classState && other.queue.size > 0) least = Math.min(least, other.virtualTime)
    }
    const start = least === Infinity ? classState.virtualTime : Math.max(classState.virtualTime, least - this.meanRunTime(classState))
    classState.virtualTime = start + slots * this.meanRunTime(classState) / Math.max(Number.EPSILON, classState.rule.weight)
  }

  /**
   * @param name - name of a team
   * @returns its quota, if it has one
   */
  team (name: string): ResolvedTeam | undefined {
    return this.teams.get(name)
  }

  /**
   * @param name - name of a team
   * @returns number of slots in use
   */
  teamSlotsInUse (name: string): number {
    return this.teamSlots.get(name) ?? 0
  }

  private changeUsage (usage: Usage, sign: 1 | -1): void {
    const classState = this.get(usage.class)
    const slots = sign * usage.resources.slots
    classState.inUse += slots
    if (usage.long) classState.longSlots += slots
    if (usage.long) this.longSlots += slots
    if (usage.team === '') return
    this.teamSlots.set(usage.team, (this.teamSlots.get(usage.team) ?? 0) + slots)
  }

  private getOrCreate (rule: ResolvedClass): ClassState {
    const known = this.states.get(rule.name)
    if (known !== undefined) return known
    const classState = new ClassState(rule)
    this.states.set(rule.name, classState)
    return classState
  }

  private minExpected (): number {
    let least = Infinity
    for (const classState of this.states.values()) least = Math.min(least, classState.rule.expected)
    return least
  }
}
