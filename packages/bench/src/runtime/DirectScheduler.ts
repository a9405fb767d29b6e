import type { Random } from '@rattanstep/core'
import type { Work } from '../types/work.js'
import type { Machine } from './Cell.js'
import { HOP, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'

/** A worker as the router sees it, exactly and without delay. */
export interface Target {
  machine: Machine
  /** Items sent that have not ended. */
  active: number
  /** Expected run times of these items, in ms. */
  expected: number
  queue: Work[]
  /** Part of recent runs that failed. */
  failing: number
}

/** How a target is picked. */
export type Pick = (targets: Target[], work: Work, random: Random) => Target

/** Weight of the newest run in a target's part of failures. */
const NEWEST = 0.1

/**
 * Sends each item at once to a worker, in whose queue it waits first in, first out. The routers share one exact view,
 * which is more than independent entry instances have.
 */
export class DirectScheduler extends Scheduler {
  private readonly targets: Target[]
  private readonly pick: Pick
  private readonly random: Random
  private readonly declared: ReadonlyMap<string, number>

  /** @param options - `pick`: how to pick a worker; `declared`: declared run time in ms of each class */
  constructor (options: SchedulerOptions & { pick: Pick, random: Random, declared: ReadonlyMap<string, number> }) {
    super(options)
    this.pick = options.pick
    this.random = options.random
    this.declared = options.declared
    this.targets = this.cell.machines.map(machine => ({ machine, active: 0, expected: 0, queue: [], failing: 0 }))
  }

  override submit (work: Work): void {
    const target = this.pick(this.targets, work, this.random)
    target.active++
    target.expected += this.declaredTime(work)
    this.clock.schedule(HOP, () => {
      if (work.state !== 'waiting') return
      target.queue.push(work)
      this.startNext(target)
      this.clock.schedule(work.arrival + work.patience - this.clock.now(), () => { this.giveUp(target, work) })
    })
  }

  override withdraw (work: Work): void {
    for (const target of this.targets) this.drop(target, work)
    this.recorder.withdraw(work, this.clock.now())
  }

  private giveUp (target: Target, work: Work): void {
    if (work.state !== 'waiting') return
    this.drop(target, work)
    this.recorder.refuse(work, this.clock.now())
  }

  private drop (target: Target, work: Work): void {
    const index = target.queue.indexOf(work)
    if (index < 0) return
    target.queue.splice(index, 1)
    this.settle(target, work)
  }

  private startNext (target: Target): void {
    while (target.machine.busy < target.machine.slots) {
      const work = target.queue.shift()
      if (work === undefined) return
      this.cell.run(work, target.machine, succeeded => {
        target.failing += ((succeeded ? 0 : 1) - target.failing) * NEWEST
        this.settle(target, work)
        this.startNext(target)
      })
    }
  }

  private settle (target: Target, work: Work): void {
    target.active--
    target.expected -= this.declaredTime(work)
  }

  private declaredTime (work: Work): number {
    return this.declared.get(work.class) ?? 0
  }
}
