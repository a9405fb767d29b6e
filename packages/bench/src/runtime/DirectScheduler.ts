import type { Random } from '@rattanstep/core'
import type { Work } from '../types/work.js'
import type { Machine } from './WorkerPool.js'
import { Deadlines } from './Deadlines.js'
import { MESSAGE_DELAY_MS, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'

/** State of a worker as the router knows it, which is exact and without delay. */
export interface Target {
  machine: Machine
  /** Number of items sent that have not ended. */
  activeCount: number
  /** Sum of the declared run times of these items, in ms. */
  expectedTime: number
  /** Items sent, including those that no longer wait. */
  queue: Work[]
  /** Index in `queue` of the next item to start. */
  nextIndex: number
  /** Fraction of recent runs that failed, as a moving average. */
  failureRate: number
}

/** Picks the worker for an item. */
export type WorkerPicker = (targets: Target[], work: Work, random: Random) => Target

/** Weight of the newest run in the failure rate. */
const NEWEST_RUN_WEIGHT = 0.1

/**
 * Sends each item to a worker as soon as it arrives. Each worker has a first-in, first-out queue. All routers share one
 * exact state of the workers, which independent entry instances would not have.
 */
export class DirectScheduler extends Scheduler {
  private readonly targets: Target[]
  private readonly pick: WorkerPicker
  private readonly random: Random
  private readonly targetByWork = new Map<Work, Target>()
  private readonly deadlines: Deadlines
  private readonly declaredTimes: ReadonlyMap<string, number>

  /**
   * @param options - clock, workers and recorder; `pick`: picks the worker; `random`: source of randomness;
   * `declaredTimes`: declared run time in ms of each class
   */
  constructor (options: SchedulerOptions & { pick: WorkerPicker, random: Random, declaredTimes: ReadonlyMap<string, number> }) {
    super(options)
    this.pick = options.pick
    this.random = options.random
    this.declaredTimes = options.declaredTimes
    this.targets = this.pool.machines.map(machine => ({ machine, activeCount: 0, expectedTime: 0, queue: [], nextIndex: 0, failureRate: 0 }))
    this.deadlines = new Deadlines({ clock: this.clock, onExpired: work => { this.expire(work) } })
  }

  override submit (work: Work): void {
    const target = this.pick(this.targets, work, this.random)
    target.activeCount++
    target.expectedTime += this.declaredTime(work)
    this.targetByWork.set(work, target)
    this.deadlines.add(work)
    this.clock.schedule(MESSAGE_DELAY_MS, () => {
      if (work.state !== 'waiting') return
      target.queue.push(work)
      this.startNext(target)
    })
  }

  override withdraw (work: Work): void {
    this.removeFromTarget(work)
    this.recorder.withdraw(work, this.clock.now())
  }

  private expire (work: Work): void {
    this.removeFromTarget(work)
    this.recorder.refuse(work, this.clock.now())
  }

  private startNext (target: Target): void {
    const { queue, machine } = target
    while (machine.busy < machine.slots && target.nextIndex < queue.length) {
      const work = queue[target.nextIndex++]!
      if (work.state !== 'waiting') continue
      this.pool.run(work, machine, succeeded => {
        target.failureRate += ((succeeded ? 0 : 1) - target.failureRate) * NEWEST_RUN_WEIGHT
        this.removeFromTarget(work)
        this.startNext(target)
      })
    }
  }

  private removeFromTarget (work: Work): void {
    const target = this.targetByWork.get(work)
    if (target === undefined) return
    this.targetByWork.delete(work)
    target.activeCount--
    target.expectedTime -= this.declaredTime(work)
  }

  private declaredTime (work: Work): number {
    return this.declaredTimes.get(work.class) ?? 0
  }
}
