import type { Ask } from '@rattanstep/core'
import { Peak } from '../utils/Peak.js'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'

/** Reserves are lent to classes whose mean is at most the median of all runs this many times. */
const MAX_LENDING_RATIO = 3

/** Milliseconds for which a peak of short work is remembered. */
const PEAK_WINDOW_MS = 30_000

/** Why work may not start although a worker may have room. */
export type LimitReason = 'most' | 'reserve' | 'team' | 'long'

/** What a `RoomLimits` is made of. */
export interface CapacityLimitsOptions {
  classes: ClassRegistry
  /** Part of all slots that long work may use whatever short work needs. */
  minLongFraction: number
  /** Part of reserves that other short work may use. */
  lentReserveFraction: number
  /** Milliseconds for which a peak of short work keeps preemptible work out. */
  recentPeakWindow: number
}

/** How much room of one owner each class may use: its most, its reserve, its team's quota, and the share of long work. */
export class CapacityLimits {
  private readonly classes: ClassRegistry
  private readonly minLongFraction: number
  private readonly lentReserveFraction: number
  private readonly peak = new Peak(PEAK_WINDOW_MS)
  private readonly recentPeak: Peak

  /** @param options - the classes and the parts of the room */
  constructor (options: CapacityLimitsOptions) {
    this.classes = options.classes
    this.minLongFraction = options.minLongFraction
    this.lentReserveFraction = options.lentReserveFraction
    this.recentPeak = new Peak(options.recentPeakWindow)
  }

  /**
   * @param classState - a class
   * @param slots - slots of the owner in all
   * @returns slots kept for the class
   */
  reserve (classState: ClassState, slots: number): number {
    return Math.round(classState.rule.reserve * slots)
  }

  /**
   * Tells which limit keeps work from starting.
   *
   * @param classState - class of the work
   * @param ask - what is asked for
   * @param capacity - slots of the owner in all and free
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
   * Notes how many slots short work uses and waits for, so that room for its next peak is kept from long work.
   *
   * @param now - ms
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
   * @param slots - slots of the owner in all
   * @param preemptible - whether the work can be preempted when short work needs the room
   * @returns slots that long work may use
   */
  maxLongSlots (slots: number, preemptible = false): number {
    const peak = preemptible ? this.recentPeak.value : this.peak.value
    return Math.max(this.minLongSlots(slots), slots - Math.ceil(peak))
  }

  /**
   * @param slots - slots of the owner in all
   * @returns slots that long work may use whatever short work needs
   */
  minLongSlots (slots: number): number {
    return slotsOf(this.minLongFraction, slots)
  }

  /**
   * @param classState - a class
   * @param slots - slots of the owner in all
   * @returns slots that the class can count on when lower work does not come before it
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

  /** While long work waits, its least part is kept from short work, which would take each slot before it. */
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

/** At least one slot, so that a small owner serves every class. */
function slotsOf (fraction: number, slots: number): number {
  return Math.max(1, Math.floor(fraction * slots + 1e-9))
}
