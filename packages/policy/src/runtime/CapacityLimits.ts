import type { Ask } from '@rattanstep/core'
import { Peak } from '../utils/Peak.js'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'

/** Reserves are lent only to classes whose mean run time is at most this many times the median of all runs. */
const MAX_LENDING_RATIO = 3

/** Time for which a peak of short work keeps capacity from long work that cannot be preempted. */
const PEAK_WINDOW_MS = 30_000

/**
 * Limit that keeps work from starting although a worker may have capacity.
 * - `most`: the class uses the largest share that its rule allows
 * - `reserve`: the free slots are reserved for other classes or for long work that waits
 * - `team`: the team's quota is used up
 * - `long`: long work uses the largest share that it may
 */
export type LimitReason = 'most' | 'reserve' | 'team' | 'long'

/** Options of `CapacityLimits`. */
export interface CapacityLimitsOptions {
  classes: ClassRegistry
  /** Fraction of all slots that long work may use regardless of the demand of short work. */
  minLongFraction: number
  /** Fraction of reserves that other short work may use. */
  lentReserveFraction: number
  /** Time in ms for which a peak of short work keeps capacity from preemptible long work. */
  recentPeakWindow: number
}

/** Limits how much of an owner's capacity each class may use: its share, the reserves, quotas of teams, and long work. */
export class CapacityLimits {
  private readonly classes: ClassRegistry
  private readonly minLongFraction: number
  private readonly lentReserveFraction: number
  private readonly peak = new Peak(PEAK_WINDOW_MS)
  private readonly recentPeak: Peak

  /** @param options - the classes, and the fractions of the capacity that they may use */
  constructor (options: CapacityLimitsOptions) {
    this.classes = options.classes
    this.minLongFraction = options.minLongFraction
    this.lentReserveFraction = options.lentReserveFraction
    this.recentPeak = new Peak(options.recentPeakWindow)
  }

  /**
   * @param classState - a class
   * @param slots - total slots of the owner
   * @returns number of slots reserved for the class
   */
  reserve (classState: ClassState, slots: number): number {
    return Math.round(classState.rule.reserve * slots)
  }

  /**
   * Finds the limit that keeps work from starting.
   *
   * @param classState - class of the work
   * @param ask - team and resources of the work
   * @param capacity - total and free slots of the owner
   * @param preemptible - whether the work can be preempted
   * @returns the limit, or `null` when the work may start
   */
  findLimit (classState: ClassState, ask: Pick<Ask, 'team' | 'resources'>, capacity: { slots: number, free: number }, preemptible = false): LimitReason | null {
    const neededSlots = ask.resources.slots
    if (classState.inUse + neededSlots > slotsOf(classState.rule.most, capacity.slots)) return 'most'
    if (this.isOverQuota(ask.team, neededSlots, capacity.slots)) return 'team'
    if (this.classes.isLong(classState) && this.classes.longSlots + neededSlots > this.maxLongSlots(capacity.slots, preemptible)) return 'long'
    if (classState.inUse + neededSlots <= this.reserve(classState, capacity.slots)) return null
    const unlentReserves = Math.floor(this.reservedForOthers(classState, capacity.slots) * this.unlentFraction(classState))
    if (capacity.free - neededSlots < unlentReserves + this.reservedForLong(classState, capacity.slots)) return 'reserve'
    return null
  }

  /**
   * Records how many slots short work uses and waits for, so that capacity for its next peak is kept from long work.
   *
   * @param now - monotonic time in ms
   */
  recordDemand (now: number): void {
    let demand = 0
    for (const classState of this.classes.all()) {
      if (!this.classes.isLong(classState) && classState.rule.kind !== 'service') demand += classState.inUse - classState.longSlots + classState.queue.size
    }
    this.peak.add(demand, now)
    this.recentPeak.add(demand, now)
  }

  /**
   * @param slots - total slots of the owner
   * @param preemptible - whether the work can be preempted when short work needs the capacity
   * @returns number of slots that long work may use
   */
  maxLongSlots (slots: number, preemptible = false): number {
    const peak = preemptible ? this.recentPeak.value : this.peak.value
    return Math.max(this.minLongSlots(slots), slots - Math.ceil(peak))
  }

  /**
   * @param slots - total slots of the owner
   * @returns number of slots that long work may use regardless of the demand of short work
   */
  minLongSlots (slots: number): number {
    return slotsOf(this.minLongFraction, slots)
  }

  /**
   * @param classState - a class
   * @param slots - total slots of the owner
   * @returns number of slots that the class can use when work of lower priority does not start before it
   */
  availableSlots (classState: ClassState, slots: number): number {
    const most = slotsOf(classState.rule.most, slots)
    return Math.min(most, this.classes.isLong(classState) ? this.maxLongSlots(slots) : slots - this.classes.longSlots)
  }

  private isOverQuota (team: string, neededSlots: number, slots: number): boolean {
    const quota = this.classes.team(team)
    if (quota === undefined) return false
    return this.classes.teamSlotsInUse(team) + neededSlots > slotsOf(quota.most, slots)
  }

  private reservedForOthers (classState: ClassState, slots: number): number {
    let reserved = 0
    for (const other of this.classes.all()) {
      if (other === classState || other.rule.reserve === 0) continue
      reserved += Math.max(0, this.reserve(other, slots) - other.inUse)
    }
    return reserved
  }

  private unlentFraction (classState: ClassState): number {
    return this.classes.meanRunTime(classState) > MAX_LENDING_RATIO * this.classes.medianRunTime() ? 1 : 1 - this.lentReserveFraction
  }

  /** While long work waits, its minimum share is kept from short work, which would otherwise take every slot first. */
  private reservedForLong (classState: ClassState, slots: number): number {
    const shortfall = this.minLongSlots(slots) - this.classes.longSlots
    if (shortfall <= 0 || this.classes.isLong(classState)) return 0
    let demand = 0
    for (const other of this.classes.all()) {
      const count = other.queue.size + other.waitingTasks
      if (count > 0 && this.classes.isLong(other)) demand += count
    }
    return Math.min(demand, shortfall)
  }
}

/**
 * Converts a fraction to whole slots: at least one, so that a small owner serves every class. A small tolerance prevents a
 * rounding error in the product from losing a slot.
 */
function slotsOf (fraction: number, slots: number): number {
  return Math.max(1, Math.floor(fraction * slots + 1e-9))
}
