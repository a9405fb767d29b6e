import type { Ask, Load } from '@rattanstep/core'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'
import type { CapacityLimits } from './CapacityLimits.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** Minimum number of recent grants for the measured rate of grants to be used. */
const MIN_GRANTS = 5

/**
 * Time for which asks must have waited without interruption before the measured rate of grants is used. While the queue is
 * empty at times, the rate is limited by the demand and does not show how fast a queue would be served.
 */
const MIN_WAITING_TIME_MS = 5000

/** Estimates how long asks will wait. */
export class WaitEstimator {
  private readonly workers: WorkerRegistry
  private readonly classes: ClassRegistry
  private readonly limits: CapacityLimits

  /** @param options - state of workers and classes, and limits */
  constructor (options: { workers: WorkerRegistry, classes: ClassRegistry, limits: CapacityLimits }) {
    this.workers = options.workers
    this.classes = options.classes
    this.limits = options.limits
  }

  /**
   * @param classState - class of the ask
   * @param ask - an ask that would be queued now
   * @param now - monotonic time in ms
   * @returns estimated wait in ms
   */
  estimateWait (classState: ClassState, ask: Ask, now: number): number {
    return this.estimateWaitBehind(classState, classState.queue.countAhead(ask), now)
  }

  /**
   * @param now - monotonic time in ms
   * @returns the load that is sent to other nodes
   */
  load (now: number): Load {
    const levels = new Map<number, { priority: number, count: number, wait: number }>()
    for (const classState of this.classes.all()) {
      if (classState.queue.size === 0) continue
      const priority = classState.rule.priority
      const level = levels.get(priority) ?? { priority, count: 0, wait: 0 }
      level.count += classState.queue.size
      level.wait = Math.max(level.wait, Math.round(this.estimateWaitBehind(classState, classState.queue.size, now)))
      levels.set(priority, level)
    }
    const waiting = [...levels.values()].sort((a, b) => b.priority - a.priority)
    return { slots: this.workers.slots, free: this.workers.freeSlots, waiting, service: this.classes.medianRunTime() }
  }

  private estimateWaitBehind (classState: ClassState, ahead: number, now: number): number {
    const measured = this.waitFromGrantRate(classState, ahead, now)
    return measured ?? this.waitFromRunTimes(classState, ahead)
  }

  /** Estimates the wait from the measured rate of grants; `null` while too little has been measured. */
  private waitFromGrantRate (classState: ClassState, ahead: number, now: number): number | null {
    if (classState.waitingSince === null || now - classState.waitingSince < MIN_WAITING_TIME_MS) return null
    if (classState.grants.recentAmount(now) < MIN_GRANTS) return null
    return (ahead + 1) / classState.grants.perMillisecond(now)
  }

  /** Estimates the wait from mean run times: the work ahead is divided by the slots that the class can use. */
  private waitFromRunTimes (classState: ClassState, ahead: number): number {
    let work = (ahead + 1) * this.classes.meanRunTime(classState)
    for (const other of this.classes.all()) {
      if (other === classState || other.rule.priority < classState.rule.priority) continue
      work += other.queue.size * this.classes.meanRunTime(other)
    }
    return work / Math.max(1, this.limits.availableSlots(classState, this.workers.slots))
  }
}
